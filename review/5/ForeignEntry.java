import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runners under an even load, of which four are replaced as planned, one after the other.
 * With the disruption, another writer has put an entry among those of the runners before.
 */
final class ForeignEntry {

	private static final int GATEWAYS = 4;

	private static final int RUNNERS = 8;

	/** The runners that are replaced, one after the other: a share of 0.5. */
	private static final int REPLACED = 4;

	private static final int CLIENTS = 16;

	private static final long REQUEST_INTERVAL_MILLIS = 100;

	private static final long DRAIN_MILLIS = 2_000;

	/** For how long the leaving runner still serves after its report. */
	private static final long SERVES_MILLIS = 4_000;

	private static final long AFTER_MILLIS = 3_000;

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger otherwise = new AtomicInteger();

	private final AtomicInteger late = new AtomicInteger();

	private volatile boolean ended;

	private Rig rig;

	public static void main(String[] args) throws Exception {
		System.exit(new ForeignEntry().play());
	}

	private int play() throws Exception {
		this.rig = new Rig("review/5", GATEWAYS);
		try (Rig rig = this.rig) {
			rig.store.put("op/config", "{\"Version\":7,\"Routes\":[{\"Name\":\"r-songs\",\"Host\":\"songs.example\","
					+ "\"PathPrefix\":\"/songs/\",\"Type\":\"idempotent\",\"TimeoutMs\":800,\"GoalMs\":300,"
					+ "\"Priority\":2,\"Service\":\"songs\",\"Attempts\":2,\"Public\":true,\"Sticky\":false,"
					+ "\"Resumable\":false}],\"Services\":[{\"Name\":\"songs\",\"HealthPath\":\"/healthz\","
					+ "\"MaxConns\":96,\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,"
					+ "\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[]}");
			List<Runner> runners = new CopyOnWriteArrayList<>();
			for (int i = 0; i < RUNNERS; i++) {
				runners.add(new Runner("i-old-" + i));
			}
			Rig.thread("status reports", () -> {
				for (int seq = 1;; seq++) {
					for (Runner runner : runners) {
						runner.register(seq);
					}
					Thread.sleep(1200);
				}
			});
			List<Rig.Node> gateways = new ArrayList<>();
			for (int i = 0; i < GATEWAYS; i++) {
				gateways.add(rig.start("gateway", i, Map.of()));
			}
			for (Rig.Node gateway : gateways) {
				if (!gateway.awaitReady(15_000)) {
					return Rig.NOT_RUN;
				}
			}
			List<Thread> clients = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				int client = i;
				Rig.Node gateway = gateways.get(i % GATEWAYS);
				clients.add(Rig.thread("client", () -> use(client, gateway.port("Listen.Frontend"))));
			}
			Thread.sleep(3000);
			if (Rig.TROUBLE) {
				rig.store.put("servers/i-other-writer",
						"{\"Service\":\"songs\",\"Address\":\"300.0.0.1:8080\",\"Zone\":\"zone-a\",\"Version\":\"v1\","
								+ "\"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":1,\"born\":1}");
				rig.note("another writer has put servers/i-other-writer");
			}
			Thread.sleep(2000);
			List<Runner> replaced = List.copyOf(runners).subList(0, REPLACED);
			for (Runner leaving : replaced) {
				Runner coming = new Runner("i-new" + leaving.id.substring("i-old".length()));
				coming.register(1);
				runners.add(coming);
				Thread.sleep(1000);
				leaving.drain();
				Thread.sleep(SERVES_MILLIS);
				leaving.end();
			}
			Thread.sleep(AFTER_MILLIS);
			this.ended = true;
			for (Thread client : clients) {
				client.join();
			}
			runners.forEach((runner) -> rig.note("runs of " + runner.id + ": " + runner.runs));
			rig.note("answered 200: " + this.served + ", otherwise: " + this.otherwise);
			rig.note("requests that reached a runner over " + DRAIN_MILLIS + " ms after the ack of its leaving: "
					+ this.late);
			return (this.late.get() > 0) ? Rig.BROKEN : Rig.HELD;
		}
	}

	private void use(int client, int port) throws Exception {
		for (int number = 0; !this.ended;) {
			try (Rig.Channel channel = new Rig.Channel(port, 3000)) {
				while (!this.ended) {
					Map<String, String> headers = new LinkedHashMap<>();
					headers.put("Host", "songs.example");
					headers.put("X-Request-Id", "c" + client + "-" + number++);
					headers.put("X-Deadline-Ms", "1508");
					Rig.Message answer = channel.call("GET", "/songs/a", headers, new byte[0]);
					((answer.status == 200) ? this.served : this.otherwise).incrementAndGet();
					Thread.sleep(REQUEST_INTERVAL_MILLIS);
				}
			}
			catch (IOException ex) {
				this.otherwise.incrementAndGet();
				this.rig.note("client " + client + ": " + ex.getMessage());
			}
		}
	}

	/** A sound runner. */
	private final class Runner extends Rig.Server {

		private final List<Socket> channels = new ArrayList<>();

		private final AtomicInteger runs = new AtomicInteger();

		private final String id;

		private final long born = System.currentTimeMillis();

		private volatile String state = "ready";

		private volatile long drainingSince = Long.MAX_VALUE;

		private volatile boolean gone;

		private Runner(String id) throws IOException {
			this.id = id;
		}

		private synchronized void register(int seq) {
			if (!this.gone) {
				ForeignEntry.this.rig.store.put("servers/" + this.id,
						"{\"Service\":\"songs\",\"Address\":\"127.0.0.1:" + port()
								+ "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"" + this.state
								+ "\",\"ColdLeftMs\":0,\"Seq\":" + seq + ",\"born\":" + this.born + "}");
			}
		}

		private synchronized void drain() {
			this.state = "draining";
			register(1000);
			this.drainingSince = ForeignEntry.this.rig.millis();
			ForeignEntry.this.rig.note("the store has accepted that " + this.id + " is draining");
		}

		private synchronized void end() throws IOException {
			this.gone = true;
			ForeignEntry.this.rig.store.delete("servers/" + this.id);
			ForeignEntry.this.rig.note(this.id + " has left");
			close();
			synchronized (this.channels) {
				for (Socket channel : this.channels) {
					channel.close();
				}
			}
		}

		@Override
		void serve(Socket channel, InputStream in, OutputStream out) throws Exception {
			synchronized (this.channels) {
				this.channels.add(channel);
			}
			for (Rig.Message request = Rig.readHead(in); request != null; request = Rig.readHead(in)) {
				String requestId = request.header("X-Request-Id");
				long sinceDraining = ForeignEntry.this.rig.millis() - this.drainingSince;
				if (sinceDraining > DRAIN_MILLIS) {
					ForeignEntry.this.late.incrementAndGet();
					ForeignEntry.this.rig
						.note(requestId + " reaches " + this.id + " " + sinceDraining + " ms after the ack");
				}
				this.runs.incrementAndGet();
				Thread.sleep(30);
				Rig.write(out, "200 OK", Map.of("X-Request-Id", requestId, "X-Server-Seal", "seal." + this.id),
						requestId.getBytes(StandardCharsets.UTF_8));
			}
		}

	}

}
