import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The operator names new weights one after the other, each when the gateway has read the
 * ones before, while clients use kept channels. With the disruption the numbers of the
 * versions increase in steps, without it by one.
 */
final class ManyVersions {

	private static final int VERSIONS = 40;

	private static final int STEP = Integer.getInteger("step", 3);

	/** The number of versions that are named in a row, without a gap. */
	private static final int IN_A_ROW = Integer.getInteger("in-a-row", 1);

	private static final long GAP_MILLIS = 2000;

	private static final int PIECES = 64;

	private static final int PIECE_BYTES = 32_768;

	private static final int KEPT_CHANNELS = 10;

	private static final long WORK_MILLIS = 300;

	private static final int ALLOWED_LOSSES = 3;

	/** The origin of weights, which serves the newest version and the one before. */
	private static final class Origin extends Rig2.Server {

		final AtomicInteger pieces = new AtomicInteger();

		final AtomicLong newest = new AtomicLong(1);

		final AtomicLong previous = new AtomicLong(1);

		Origin() throws IOException {
		}

		private static byte[] piece(long version, int index) {
			byte[] bytes = new byte[PIECE_BYTES];
			new Random(version * 1000 + index).nextBytes(bytes);
			return bytes;
		}

		private static String manifest(long version) throws Exception {
			List<String> digests = new ArrayList<>();
			for (int i = 0; i < PIECES; i++) {
				digests.add('"' + HexFormat.of()
					.formatHex(MessageDigest.getInstance("SHA-256").digest(piece(version, i))) + '"');
			}
			return "{\"Model\":\"m0\",\"Version\":" + version + ",\"ChunkBytes\":" + PIECE_BYTES
					+ ",\"layers\":16,\"Digests\":[" + String.join(",", digests) + "]}";
		}

		@Override
		void serve(Socket connection) throws IOException {
			InputStream in = new BufferedInputStream(connection.getInputStream());
			while (true) {
				String target = Rig2.read(in).start.split(" ")[1];
				long version = target.contains("Version=") ? Long.parseLong(target.replaceAll(".*Version=([0-9]+).*", "$1"))
						: this.newest.get();
				byte[] body = new byte[0];
				String status = "410 Gone";
				if (version == this.newest.get() || version == this.previous.get()) {
					status = "200 OK";
					try {
						if (target.startsWith("/manifest/")) {
							body = manifest(version).getBytes(StandardCharsets.UTF_8);
						}
						else {
							body = piece(version, Integer.parseInt(target.replaceAll(".*Num=([0-9]+).*", "$1")));
							this.pieces.incrementAndGet();
						}
					}
					catch (Exception ex) {
						throw new IOException(ex);
					}
				}
				connection.getOutputStream()
					.write(Rig2.concat(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length + "\r\n\r\n")
						.getBytes(StandardCharsets.ISO_8859_1), body));
			}
		}

	}

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
		Origin origin = rig.closing(new Origin());
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
				Rig2.configuration(7, Rig2.route("read", "h.example", "idempotent", 4000, "catalogue", 2, ""),
						Rig2.plainService("catalogue") + ",{\"Name\":\"weights\",\"Origin\":\"" + origin.address()
								+ "\",\"Zone\":\"za\",\"BandwidthMbps\":9.9,\"MaxConns\":48}",
						Rig2.tenant("t0", "key0")));
		store.put("op/version/m0", "{\"Model\":\"m0\",\"Version\":1}");
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
		Rig2.sleep(1000);
		boolean servesBefore = answered.get() > 0 && lost.get() == 0;

		long step = Rig2.trouble() ? STEP : 1;
		long version = 1;
		int named = 0;
		while (named < VERSIONS && gateway.process.isAlive()) {
			int before = origin.pieces.get();
			long at = Rig2.now();
			for (int i = 0; i < IN_A_ROW; i++) {
				version += step;
				origin.previous.set(origin.newest.get());
				origin.newest.set(version);
				store.put("op/version/m0", "{\"Model\":\"m0\",\"Version\":" + version + "}");
			}
			named++;
			while (Rig2.now() < at + GAP_MILLIS && gateway.process.isAlive()) {
				Rig2.sleep(20);
			}
			rig.log("version " + version + " named, pieces read " + (origin.pieces.get() - before));
		}
		Rig2.sleep(1000);
		stop[0] = true;
		keptEnded.await(10, TimeUnit.SECONDS);

		rig.log("versions named: " + named + " in steps of " + step);
		rig.log("requests on kept channels: answered 200 " + answered + ", passed on to a sound runner and closed "
				+ "without an answer " + lost + ", other " + otherwise);
		boolean alive = gateway.process.isAlive();
		rig.log("gateway process " + (alive ? "runs" : "has ended by itself, exit code " + gateway.process.exitValue()));
		java.nio.file.Files.readAllLines(gateway.log)
			.stream()
			.filter((line) -> line.contains("OutOfMemoryError"))
			.limit(3)
			.forEach((line) -> rig.log("its output: " + line));
		if (!servesBefore || origin.pieces.get() < PIECES * named / 2) {
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

}
