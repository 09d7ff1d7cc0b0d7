import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams that may not be resumed, on two runners. With the disruption, one runner sends
 * some answers a second time, late, where the answer to the next request is expected.
 */
final class LateExtra {

	private static final int SLOTS = 2;

	private static final int QUEUE = 2;

	/** The clients of the first gateway, which ask one request after the other. */
	private static final int STEADY_CLIENTS = 4;

	/** The clients of the second gateway, which ask together. */
	private static final int BURST_CLIENTS = 10;

	private static final long BURST_INTERVAL_MILLIS = 1000;

	private static final long DURATION_MILLIS = 60_000;

	private static final int EVENTS = 6;

	private static final long EVENT_MILLIS = 25;

	/** One in so many answers of a run ends its channel, as runners do at times. */
	private static final int CLOSING_INTERVAL = 6;

	/** The share of its answers that the runner in trouble doubles at most. */
	private static final double DOUBLED = 0.03;

	private final Map<String, List<String>> runs = new ConcurrentHashMap<>();

	private final Map<String, Integer> statuses = new ConcurrentHashMap<>();

	private Rig rig;

	public static void main(String[] args) throws Exception {
		System.exit(new LateExtra().play());
	}

	private int play() throws Exception {
		this.rig = new Rig("review/1", 2);
		try (Rig rig = this.rig) {
			Runner first = new Runner("i-first", Rig.TROUBLE);
			Runner second = new Runner("i-second", false);
			rig.store.put("op/config", "{\"Version\":7,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"songs.example\","
					+ "\"PathPrefix\":\"/songs/\",\"Type\":\"stream\",\"TimeoutMs\":6000,\"GoalMs\":500,\"Priority\":1,"
					+ "\"Service\":\"songs\",\"Attempts\":2,\"Public\":true,\"Sticky\":false,\"Resumable\":false,"
					+ "\"GapGoalMs\":400}],\"Services\":[{\"Name\":\"songs\",\"HealthPath\":\"/healthz\","
					+ "\"MaxConns\":264,\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,"
					+ "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[]}");
			first.register(1);
			second.register(1);
			Rig.thread("status reports", () -> {
				for (int seq = 2;; seq++) {
					Thread.sleep(1200);
					first.register(seq);
					second.register(seq);
				}
			});
			Rig.Node steady = rig.start("gateway", 0, Map.of());
			Rig.Node bursting = rig.start("gateway", 1, Map.of());
			if (!steady.awaitReady(20_000) || !bursting.awaitReady(20_000)) {
				return Rig.NOT_RUN;
			}
			List<Thread> clients = new ArrayList<>();
			for (int i = 0; i < STEADY_CLIENTS + BURST_CLIENTS; i++) {
				int client = i;
				Rig.Node gateway = (i < STEADY_CLIENTS) ? steady : bursting;
				clients.add(Rig.thread("client", () -> request(client, gateway.port("Listen.Frontend"))));
			}
			for (Thread client : clients) {
				client.join();
			}
			Thread.sleep(1000);
			return judge(first);
		}
	}

	private void request(int client, int port) throws Exception {
		long until = this.rig.millis() + DURATION_MILLIS;
		for (int number = 0; this.rig.millis() < until;) {
			try (Rig.Channel channel = new Rig.Channel(port, 8000)) {
				while (this.rig.millis() < until) {
					String id = "c" + client + "-" + number++;
					Map<String, String> headers = new LinkedHashMap<>();
					headers.put("Host", "songs.example");
					headers.put("X-Request-Id", id);
					headers.put("X-Deadline-Ms", "6000");
					this.rig.note("client sends " + id);
					Rig.Message answer = channel.call("POST", "/songs/a", headers,
							"body".getBytes(StandardCharsets.UTF_8));
					this.statuses.put(id, answer.status);
					this.rig.note("client has " + answer.status + " for " + id);
					Thread.sleep((client < STEADY_CLIENTS) ? 40
							: BURST_INTERVAL_MILLIS - this.rig.millis() % BURST_INTERVAL_MILLIS);
				}
			}
			catch (IOException ex) {
				this.rig.note("client " + client + ": the channel ended: " + ex.getMessage());
			}
		}
	}

	private int judge(Runner doubling) throws IOException {
		int twice = 0;
		int refused = 0;
		for (Map.Entry<String, List<String>> run : this.runs.entrySet()) {
			int status = this.statuses.getOrDefault(run.getKey(), 0);
			if (run.getValue().size() > 1) {
				twice++;
				this.rig.note("TWICE: " + run.getKey() + " ran on " + run.getValue());
			}
			if (status == 503 || status == 429 || status == 408 || status == 421) {
				refused++;
				this.rig.note("REFUSED: " + run.getKey() + " was answered " + status + " and ran on " + run.getValue());
			}
		}
		this.rig.note("requests answered: " + this.statuses.size() + ", run: " + this.runs.size()
				+ "; the first runner gave " + doubling.answers + " answers, of them refusals " + doubling.refusals
				+ ", and doubled " + doubling.doubled);
		this.rig.note("run twice: " + twice + ", refused though run: " + refused);
		if (this.runs.size() < 100 || (Rig.TROUBLE && doubling.doubled.get() == 0)) {
			return Rig.NOT_RUN;
		}
		return (twice + refused > 0) ? Rig.BROKEN : Rig.HELD;
	}

	/** A runner of the service, which is sound unless it doubles answers. */
	private final class Runner extends Rig.Server {

		private final Semaphore places = new Semaphore(SLOTS + QUEUE);

		private final Semaphore slots = new Semaphore(SLOTS, true);

		private final AtomicInteger answers = new AtomicInteger();

		private final AtomicInteger refusals = new AtomicInteger();

		private final AtomicInteger ran = new AtomicInteger();

		private final AtomicInteger doubled = new AtomicInteger();

		private final String id;

		private final boolean doubles;

		private final long born = System.currentTimeMillis();

		private Runner(String id, boolean doubles) throws IOException {
			this.id = id;
			this.doubles = doubles;
		}

		private void register(int seq) {
			LateExtra.this.rig.store.put("servers/" + this.id,
					"{\"Service\":\"songs\",\"Address\":\"127.0.0.1:" + port()
							+ "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":" + SLOTS
							+ ",\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":" + seq + ",\"born\":" + this.born + "}");
		}

		@Override
		void serve(Socket channel, InputStream in, OutputStream out) throws Exception {
			String extra = null;
			for (Rig.Message request = Rig.readHead(in); request != null; request = Rig.readHead(in)) {
				Rig.readBody(request, in, false);
				if (extra != null) {
					LateExtra.this.rig.note(this.id + " sends its answer to " + extra + " a second time, before that to "
							+ request.header("X-Request-Id"));
					refuse(out, extra);
					extra = null;
				}
				extra = answer(request, out);
			}
		}

		/** Returns the request whose answer is to be sent a second time, or null. */
		private String answer(Rig.Message request, OutputStream out) throws Exception {
			String requestId = request.header("X-Request-Id");
			int number = this.answers.incrementAndGet();
			if (!request.header("X-Expect-Instance").equals(this.id)) {
				Rig.write(out, "421 Misdirected Request", Map.of("X-Instance-Id", this.id), new byte[0]);
				return null;
			}
			if (!this.places.tryAcquire()) {
				this.refusals.incrementAndGet();
				refuse(out, requestId);
				if (this.doubles && this.doubled.get() + 1 <= DOUBLED * number) {
					this.doubled.incrementAndGet();
					return requestId;
				}
				return null;
			}
			try {
				long millis = Long.parseLong(request.header("X-Deadline-Ms"));
				if (!this.slots.tryAcquire(millis, TimeUnit.MILLISECONDS)) {
					refuse(out, requestId);
					return null;
				}
				try {
					run(requestId, out);
				}
				finally {
					this.slots.release();
				}
			}
			finally {
				this.places.release();
			}
			return null;
		}

		private void refuse(OutputStream out, String requestId) throws IOException {
			Rig.write(out, "503 Service Unavailable", Map.of("X-Not-Executed", "1", "X-Request-Id", requestId),
					new byte[0]);
		}

		private void run(String requestId, OutputStream out) throws Exception {
			LateExtra.this.rig.note(this.id + " runs " + requestId);
			LateExtra.this.runs.computeIfAbsent(requestId, (key) -> new ArrayList<>()).add(this.id);
			boolean closing = this.ran.incrementAndGet() % CLOSING_INTERVAL == 0;
			out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + requestId
					+ "\r\nX-Server-Seal: seal." + this.id + "\r\n" + (closing ? "Connection: close\r\n" : "")
					+ "Transfer-Encoding: chunked\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			for (int event = 1; event <= EVENTS; event++) {
				Thread.sleep(EVENT_MILLIS);
				String text = "id: " + event + "\ndata: " + requestId + " " + event + "\n\n";
				out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
				out.flush();
			}
			out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			if (closing) {
				out.close();
			}
		}

	}

}
