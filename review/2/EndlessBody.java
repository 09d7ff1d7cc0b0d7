import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Clients under an even load before seven runners, of which one refuses some requests. With
 * the disruption, the bodies of its refusals have no end, until the caller closes.
 */
final class EndlessBody {

	private static final int RUNNERS = 7;

	private static final int CLIENTS = 28;

	private static final long REQUEST_INTERVAL_MILLIS = 150;

	private static final long LOAD_MILLIS = 30_000;

	private static final long TROUBLE_AT_MILLIS = 2_000;

	private static final int TIMEOUT_MILLIS = 800;

	/** How long after the route's timeout an answer may still come. */
	private static final int SLACK_MILLIS = 500;

	private static final int CLIENT_LIMIT_MILLIS = 1_508;

	/** The share of its requests that the runner in trouble refuses. */
	private static final double REFUSED = 0.4;

	private static final int CHUNK_BYTES = 65_536;

	private static final int CHUNKS_PER_WRITE = 16;

	private final Map<String, Integer> ends = new TreeMap<>();

	private final AtomicInteger atTimeout = new AtomicInteger();

	private final AtomicInteger pastTimeout = new AtomicInteger();

	private final AtomicInteger endless = new AtomicInteger();

	/** The runner in trouble: the one that gets the first request after some seconds. */
	private final AtomicReference<Runner> inTrouble = new AtomicReference<>();

	private long from;

	private Rig rig;

	public static void main(String[] args) throws Exception {
		System.exit(new EndlessBody().play());
	}

	private int play() throws Exception {
		this.rig = new Rig("review/2", 1);
		try (Rig rig = this.rig) {
			rig.store.put("op/config", "{\"Version\":7,\"Routes\":[{\"Name\":\"r-songs\",\"Host\":\"songs.example\","
					+ "\"PathPrefix\":\"/songs/\",\"Type\":\"idempotent\",\"TimeoutMs\":" + TIMEOUT_MILLIS
					+ ",\"GoalMs\":300,\"Priority\":2,\"Service\":\"songs\",\"Attempts\":2,\"Public\":true,"
					+ "\"Sticky\":false,\"Resumable\":false}],\"Services\":[{\"Name\":\"songs\","
					+ "\"HealthPath\":\"/healthz\",\"MaxConns\":96,\"Protocol\":\"h1\",\"Tls\":false}],"
					+ "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
					+ "\"IdleTimeoutMs\":15000},\"Tenants\":[]}");
			List<Runner> runners = new ArrayList<>();
			for (int i = 0; i < RUNNERS; i++) {
				runners.add(new Runner("i-runner-" + i));
			}
			Rig.thread("status reports", () -> {
				for (int seq = 1;; seq++) {
					for (Runner runner : runners) {
						runner.register(seq);
					}
					Thread.sleep(1200);
				}
			});
			Rig.Node gateway = rig.start("gateway", 0, Map.of());
			if (!gateway.awaitReady(15_000)) {
				return Rig.NOT_RUN;
			}
			this.from = rig.millis();
			List<Thread> clients = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				int client = i;
				clients.add(Rig.thread("client", () -> use(client, gateway.port("Listen.Frontend"))));
			}
			for (Thread client : clients) {
				client.join();
			}
			rig.note("the gateway's process " + (gateway.process.isAlive() ? "runs" : "has ended") + " and is "
					+ (gateway.awaitReady(2000) ? "ready" : "not ready"));
			rig.note("ends of requests: " + this.ends + "; answers without an end: " + this.endless);
			rig.note("unanswered at the route's timeout: " + this.atTimeout + ", also " + SLACK_MILLIS
					+ " ms later: " + this.pastTimeout);
			if (Rig.TROUBLE && this.endless.get() == 0) {
				return Rig.NOT_RUN;
			}
			return (this.pastTimeout.get() >= 8 && this.pastTimeout.get() * 4 > this.atTimeout.get()) ? Rig.BROKEN
					: Rig.HELD;
		}
	}

	private void use(int client, int port) throws Exception {
		Thread.sleep(client * REQUEST_INTERVAL_MILLIS / CLIENTS);
		for (int number = 0; this.rig.millis() < this.from + LOAD_MILLIS;) {
			try (Rig.Channel channel = new Rig.Channel(port, CLIENT_LIMIT_MILLIS)) {
				while (this.rig.millis() < this.from + LOAD_MILLIS) {
					request(channel, "c" + client + "-" + number++);
				}
			}
			catch (IOException ex) {
				// it asks again on a new channel
			}
		}
	}

	private void request(Rig.Channel channel, String id) throws Exception {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Host", "songs.example");
		headers.put("X-Request-Id", id);
		headers.put("X-Deadline-Ms", String.valueOf(CLIENT_LIMIT_MILLIS));
		long sentAt = this.rig.millis();
		String end = "no answer";
		try {
			end = String.valueOf(channel.call("GET", "/songs/a", headers, new byte[0]).status);
		}
		finally {
			long millis = this.rig.millis() - sentAt;
			synchronized (this.ends) {
				this.ends.merge(end, 1, Integer::sum);
			}
			if (millis > TIMEOUT_MILLIS) {
				this.atTimeout.incrementAndGet();
			}
			if (millis > TIMEOUT_MILLIS + SLACK_MILLIS) {
				this.pastTimeout.incrementAndGet();
				this.rig.note(id + ": " + end + " after " + millis + " ms");
			}
		}
		Thread.sleep(REQUEST_INTERVAL_MILLIS);
	}

	/** A runner; the one in trouble refuses some requests. */
	private final class Runner extends Rig.Server {

		private final AtomicInteger requests = new AtomicInteger();

		private final AtomicInteger refusals = new AtomicInteger();

		private final String id;

		private final long born = System.currentTimeMillis();

		private Runner(String id) throws IOException {
			this.id = id;
		}

		private void register(int seq) {
			EndlessBody.this.rig.store.put("servers/" + this.id,
					"{\"Service\":\"songs\",\"Address\":\"127.0.0.1:" + port()
							+ "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\","
							+ "\"ColdLeftMs\":0,\"Seq\":" + seq + ",\"born\":" + this.born + "}");
		}

		@Override
		void serve(Socket channel, InputStream in, OutputStream out) throws Exception {
			for (Rig.Message request = Rig.readHead(in); request != null; request = Rig.readHead(in)) {
				String requestId = request.header("X-Request-Id");
				if (EndlessBody.this.rig.millis() - EndlessBody.this.from > TROUBLE_AT_MILLIS) {
					EndlessBody.this.inTrouble.compareAndSet(null, this);
				}
				int number = this.requests.incrementAndGet();
				if (EndlessBody.this.inTrouble.get() == this && this.refusals.get() + 1 <= REFUSED * number) {
					this.refusals.incrementAndGet();
					refuse(requestId, channel, out);
				}
				else {
					Thread.sleep(60);
					Rig.write(out, "200 OK", Map.of("X-Request-Id", requestId, "X-Server-Seal", "seal." + this.id),
							requestId.getBytes(StandardCharsets.UTF_8));
				}
			}
		}

		private void refuse(String requestId, Socket channel, OutputStream out) throws IOException {
			if (!Rig.TROUBLE) {
				Rig.write(out, "503 Service Unavailable", Map.of("X-Not-Executed", "1", "X-Request-Id", requestId),
						new byte[0]);
				return;
			}
			EndlessBody.this.endless.incrementAndGet();
			EndlessBody.this.rig.note(this.id + " refuses " + requestId + "; its bytes do not end");
			out.write(("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Request-Id: " + requestId
					+ "\r\nTransfer-Encoding: chunked\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			ByteArrayOutputStream chunks = new ByteArrayOutputStream();
			for (int i = 0; i < CHUNKS_PER_WRITE; i++) {
				chunks.write((Integer.toHexString(CHUNK_BYTES) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
				chunks.write(new byte[CHUNK_BYTES]);
				chunks.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
			}
			byte[] block = chunks.toByteArray();
			long written = 0;
			try {
				while (true) {
					channel.getOutputStream().write(block);
					written += block.length;
				}
			}
			finally {
				EndlessBody.this.rig.note(this.id + ": the caller closed after " + written + " bytes");
			}
		}

	}

}
