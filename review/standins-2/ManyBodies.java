import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * Clients that send bodies in chunks, each shorter than MaxBodyBytes, while others use
 * kept channels. With the disruption the bodies come at the same time, without it one
 * after the other.
 */
final class ManyBodies {

	private static final int UPLOADS = 60;

	private static final int BODY_BYTES = 2_000_000;

	private static final int CHUNK_BYTES = 16_384;

	/** The time over which a client sends one body when many come at once. */
	private static final long UPLOAD_MILLIS = 1500;

	private static final int KEPT_CHANNELS = 10;

	private static final long WORK_MILLIS = 300;

	private static final int ALLOWED_LOSSES = 3;

	public static void main(String[] arguments) throws Exception {
		int result = 2;
		try (Rig2 rig = new Rig2(arguments[0])) {
			result = run(rig);
			rig.log("exit code " + result);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		Runtime.getRuntime().exit(result);
	}

	private static int run(Rig2 rig) throws Exception {
		Rig2.Store store = new Rig2.Store();
		Rig2.Store.Access access = rig.closing(store.new Access());
		Rig2.Work work = (request, out) -> {
			Rig2.sleep(WORK_MILLIS);
			out.write(Rig2.Runner.success(request, new byte[800]));
		};
		Rig2.Runner[] runners = new Rig2.Runner[3];
		for (int i = 0; i < runners.length; i++) {
			runners[i] = rig.closing(new Rig2.Runner("i-" + i, "catalogue", 12, work));
			runners[i].register(store);
		}
		store.put("op/config",
				Rig2.configuration(7,
						Rig2.route("read", "h.example", "idempotent", 4000, "catalogue", 2, "") + ","
								+ Rig2.route("upload", "h.example", "idempotent", 6000, "catalogue", 2, ""),
						Rig2.plainService("catalogue"), Rig2.tenant("t0", "key0")));
		int peers = Rig2.freePort();
		Rig2.Role gateway = rig.gateway("edge-1", access.port(), peers, "127.0.0.1:" + peers);
		gateway.start();
		gateway.awaitReady(30_000);
		Rig2.sleep(2000);

		AtomicInteger answered = new AtomicInteger();
		AtomicInteger lost = new AtomicInteger();
		AtomicInteger otherwise = new AtomicInteger();
		boolean[] stop = new boolean[1];
		CountDownLatch keptEnded = new CountDownLatch(KEPT_CHANNELS);
		for (int i = 0; i < KEPT_CHANNELS; i++) {
			int number = i;
			Rig2.thread(() -> {
				useKeptChannel(rig, gateway.callers, number, runners, stop, answered, lost, otherwise);
				keptEnded.countDown();
			});
		}
		Rig2.sleep(1500);
		boolean servesBefore = answered.get() > 0 && lost.get() == 0;

		boolean atOnce = Rig2.trouble();
		rig.log(UPLOADS + " bodies of " + BODY_BYTES + " bytes in chunks of " + CHUNK_BYTES
				+ (atOnce ? " at the same time" : " one after the other"));
		Map<String, Integer> outcomes = new ConcurrentSkipListMap<>();
		AtomicIntegerArray sent = new AtomicIntegerArray(UPLOADS);
		CountDownLatch uploaded = new CountDownLatch(UPLOADS);
		for (int i = 0; i < UPLOADS; i++) {
			int number = i;
			Runnable upload = () -> {
				String outcome = upload(gateway.callers, number, atOnce ? UPLOAD_MILLIS : 0, sent);
				outcomes.merge(outcome, 1, Integer::sum);
				uploaded.countDown();
			};
			if (atOnce) {
				Rig2.thread(upload);
			}
			else {
				upload.run();
			}
		}
		uploaded.await(30, TimeUnit.SECONDS);
		Rig2.sleep(1500);
		stop[0] = true;
		keptEnded.await(10, TimeUnit.SECONDS);

		rig.log("outcomes of the bodies: " + outcomes);
		rig.log("requests on kept channels: answered 200 " + answered + ", passed on to a sound runner and closed "
				+ "without an answer " + lost + ", other " + otherwise);
		boolean alive = gateway.process.isAlive();
		rig.log("gateway process " + (alive ? "runs" : "has ended by itself, exit code " + gateway.process.exitValue()));
		java.nio.file.Files.readAllLines(gateway.log)
			.stream()
			.filter((line) -> line.contains("OutOfMemoryError"))
			.limit(3)
			.forEach((line) -> rig.log("its output: " + line));
		if (!servesBefore) {
			return 2;
		}
		return (!alive || lost.get() > ALLOWED_LOSSES) ? 1 : 0;
	}

	private static void useKeptChannel(Rig2 rig, int port, int number, Rig2.Runner[] runners, boolean[] stop,
			AtomicInteger answered, AtomicInteger lost, AtomicInteger otherwise) {
		try (Rig2.Client client = new Rig2.Client(port)) {
			for (int i = 0; !stop[0]; i++) {
				String id = "kept-" + number + "-" + i;
				try {
					int status = client
						.call(Rig2.Client.head("GET", "/read/x", "h.example", id, "key0", 4000), new byte[0])
						.status();
					((status == 200) ? answered : otherwise).incrementAndGet();
					if (status != 200) {
						Rig2.sleep(300);
					}
				}
				catch (IOException ex) {
					boolean passedOn = Arrays.stream(runners).anyMatch((runner) -> runner.runs.contains(id));
					rig.log(id + ": " + ex.getMessage() + (passedOn ? ", passed on to a runner" : ", not passed on"));
					(passedOn ? lost : otherwise).incrementAndGet();
					return;
				}
			}
		}
		catch (IOException ex) {
			rig.log("kept channel " + number + ": " + ex);
		}
	}

	private static String upload(int port, int number, long overMillis, AtomicIntegerArray sent) {
		try (Rig2.Client client = new Rig2.Client(port)) {
			client.write(Rig2.Client.head("POST", "/upload/x", "h.example", "body-" + number, "key0", 6000)
					+ "Transfer-Encoding: chunked\r\n\r\n");
			byte[] chunk = new byte[CHUNK_BYTES];
			long start = Rig2.now();
			for (int at = 0; at < BODY_BYTES; at += CHUNK_BYTES) {
				int length = Math.min(CHUNK_BYTES, BODY_BYTES - at);
				client.write(Rig2.concat((Integer.toHexString(length) + "\r\n").getBytes(), Arrays.copyOf(chunk, length),
						"\r\n".getBytes()));
				sent.set(number, at + length);
				Rig2.sleepUntil(start + overMillis * at / BODY_BYTES);
			}
			client.write("0\r\n\r\n");
			return "status " + Rig2.read(client.in).status();
		}
		catch (IOException ex) {
			return ex.getMessage();
		}
	}

}
