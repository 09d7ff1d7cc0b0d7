import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A gateway gets SIGTERM while clients read answers slowly, on kept channels on which they
 * have sent their next request behind.
 */
final class SentBehind {

	private static final int CLIENTS = 10;

	private static final int ANSWER_BYTES = 300_000;

	private static final long WORK_MILLIS = 5;

	private static final int READ_BYTES_PER_SECOND = 60_000;

	private static final int RECEIVE_BUFFER_BYTES = 32_768;

	/** The route's timeout and the time limit of the clients. */
	private static final long LIMIT_MILLIS = 6000;

	/** When the first client sends its next request, while it still reads the answer. */
	private static final long FIRST_BEHIND_MILLIS = 2500;

	private static final long BEHIND_STEP_MILLIS = 150;

	private static final long GRACE_MILLIS = 8000;

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
		Set<String> completed = ConcurrentHashMap.newKeySet();
		Rig2.Work work = (request, out) -> {
			Rig2.sleep(WORK_MILLIS);
			out.write(Rig2.Runner.success(request, new byte[ANSWER_BYTES]));
			completed.add(request.header("x-request-id"));
		};
		for (int i = 0; i < 3; i++) {
			rig.closing(new Rig2.Runner("i-" + i, "catalogue", 12, work)).register(store);
		}
		store.put("op/config",
				Rig2.configuration(7, Rig2.route("read", "h.example", "idempotent", LIMIT_MILLIS, "catalogue", 2, ""),
						Rig2.plainService("catalogue"), Rig2.tenant("t0", "key0")));
		int peers = Rig2.freePort();
		Rig2.Role gateway = rig.gateway("edge-1", access.port(), peers, "127.0.0.1:" + peers);
		gateway.start();
		gateway.awaitReady(30_000);
		Rig2.sleep(2000);

		List<String> lost = new ArrayList<>();
		List<String> whole = new ArrayList<>();
		List<Thread> clients = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			int number = i;
			String id = "first-" + i;
			clients.add(new Thread(() -> {
				String outcome = read(gateway.callers, number, id);
				rig.log(id + ": " + outcome + (completed.contains(id) ? ", its runner had made the whole answer" : ""));
				synchronized (lost) {
					(outcome.startsWith("whole") ? whole : lost).add(id);
				}
			}));
		}
		clients.forEach(Thread::start);
		Rig2.sleep(300);
		if (Rig2.trouble()) {
			gateway.signal("TERM");
			rig.log("SIGTERM");
			if (!gateway.process.waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
				rig.log("SIGKILL");
				gateway.process.destroyForcibly();
			}
			else {
				rig.log("the process has ended, exit code " + gateway.process.exitValue());
			}
		}
		for (Thread client : clients) {
			client.join(15_000);
		}
		rig.log("answers: whole " + whole.size() + ", channel ended before " + lost.size());
		if (completed.isEmpty()) {
			return 2;
		}
		return lost.isEmpty() ? 0 : 1;
	}

	private static String read(int port, int number, String id) {
		long start = Rig2.now();
		int got = 0;
		boolean nextSent = false;
		try (Rig2.Client client = new Rig2.Client(port)) {
			client.socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			client.write(Rig2.Client.head("GET", "/read/x", "h.example", id, "key0", LIMIT_MILLIS) + "\r\n");
			InputStream in = client.in;
			Rig2.Message answer = Rig2.readHead(in);
			boolean closes = "close".equalsIgnoreCase(answer.header("connection"));
			long reading = Rig2.now();
			byte[] bytes = new byte[5000];
			int length = Integer.parseInt(answer.header("content-length"));
			while (got < length) {
				int count = in.read(bytes, 0, Math.min(bytes.length, length - got));
				if (count < 0) {
					return "channel ended after " + got + " of " + length + " bytes";
				}
				got += count;
				Rig2.sleepUntil(reading + 1000L * got / READ_BYTES_PER_SECOND);
				if (!closes && !nextSent && Rig2.now() - start >= FIRST_BEHIND_MILLIS + number * BEHIND_STEP_MILLIS) {
					client.write(
							Rig2.Client.head("GET", "/read/x", "h.example", "next-" + number, "key0", LIMIT_MILLIS) + "\r\n");
					nextSent = true;
				}
			}
			return "whole, " + (Rig2.now() - start) + " ms after it was sent";
		}
		catch (IOException ex) {
			return ex.getMessage() + " after " + got + " of " + ANSWER_BYTES + " bytes, " + (Rig2.now() - start)
					+ " ms after it was sent, next request sent " + nextSent;
		}
	}

}
