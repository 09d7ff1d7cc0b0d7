import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A key is taken away while the store turns one gateway away and, for 5.5 s, packets do
 * not pass from the other gateway to this one. Clients go on with the key on kept
 * channels.
 */
final class StaleCopy {

	private static final long REVOKE_MILLIS = 5000;

	/** The duration of a cut that lets packets pass one way only. */
	private static final long CUT_MILLIS = 5500;

	/** The duration for which the store turns a machine away. */
	private static final long STORE_MILLIS = 9000;

	/** The age of its view at which a gateway asks another one for its copy. */
	private static final long COPY_AGE_MILLIS = 3300;

	private static final int CHANNELS = 4;

	private static final long INTERVAL_MILLIS = 20;

	private record Sent(long atMillis, String outcome) {

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

	private static String configuration(long version, String... keys) {
		return Rig2.configuration(version, Rig2.route("read", "h.example", "idempotent", 1500, "catalogue", 2, ""),
				Rig2.plainService("catalogue"), Rig2.tenant("t0", "key0") + "," + Rig2.tenant("t1", keys));
	}

	private static int run(Rig2 rig) throws Exception {
		Rig2.Store store = new Rig2.Store();
		Rig2.Store.Access accessA = rig.closing(store.new Access());
		Rig2.Store.Access accessB = rig.closing(store.new Access());
		Map<String, Long> runs = new ConcurrentHashMap<>();
		Rig2.Work work = (request, out) -> {
			runs.put(request.header("x-request-id"), Rig2.now());
			Rig2.sleep(5);
			out.write(Rig2.Runner.success(request, new byte[800]));
		};
		for (int i = 0; i < 3; i++) {
			rig.closing(new Rig2.Runner("i-" + i, "catalogue", 6, work)).register(store);
		}
		store.put("op/config", configuration(7, "key1", "key2"));

		int peersA = Rig2.freePort();
		int peersB = Rig2.freePort();
		OneWayProxy towardsA = rig.closing(new OneWayProxy(peersA));
		OneWayProxy towardsB = rig.closing(new OneWayProxy(peersB));
		Rig2.Role gatewayA = rig.gateway("edge-a", accessA.port(), peersA,
				"127.0.0.1:" + peersA + ",127.0.0.1:" + towardsB.port());
		Rig2.Role gatewayB = rig.gateway("edge-b", accessB.port(), peersB,
				"127.0.0.1:" + towardsA.port() + ",127.0.0.1:" + peersB);
		gatewayA.start();
		gatewayB.start();
		gatewayA.awaitReady(30_000);
		gatewayB.awaitReady(30_000);
		// long enough for all that follows a start
		Rig2.sleep(12_000);

		Map<String, Sent> sent = new ConcurrentHashMap<>();
		boolean[] stop = new boolean[1];
		List<Thread> clients = new ArrayList<>();
		AtomicInteger numbers = new AtomicInteger();
		for (int i = 0; i < CHANNELS; i++) {
			clients.add(new Thread(() -> useKey(gatewayB.callers, numbers, sent, stop)));
		}
		clients.forEach(Thread::start);
		Rig2.sleep(1000);

		// the last response of the store to gateway B belongs to this request
		long confirmed = accessB.lastAnsweredAtMillis;
		long refusedAt = Rig2.now();
		if (Rig2.trouble()) {
			confirmed = accessB.refuse();
			rig.log("the store turns gateway B away; its last answered request came at " + confirmed + " ms");
		}
		Rig2.sleepUntil(confirmed + COPY_AGE_MILLIS - 100);
		long cutAt = Rig2.now();
		if (Rig2.trouble()) {
			towardsA.cut(false, true);
			towardsB.cut(true, false);
			rig.log("no packets pass from gateway A to gateway B");
		}
		Rig2.sleepUntil(cutAt + 300);
		store.put("op/config", configuration(8, "key2"));
		long ack = Rig2.now();
		rig.log("key1 is taken away, acknowledged");
		Rig2.sleepUntil(cutAt + CUT_MILLIS);
		towardsA.cut(false, false);
		towardsB.cut(false, false);
		rig.log("packets pass from gateway A to gateway B again");
		Rig2.sleepUntil(refusedAt + STORE_MILLIS);
		accessB.refusing = false;
		rig.log("the store serves gateway B again");
		Rig2.sleep(2500);
		stop[0] = true;
		for (Thread client : clients) {
			client.join(5000);
		}

		int before = 0;
		List<String> late = new ArrayList<>();
		for (Map.Entry<String, Sent> request : sent.entrySet()) {
			Long ranAt = runs.get(request.getKey());
			if (ranAt != null && request.getValue().atMillis() > ack + REVOKE_MILLIS) {
				late.add("sent " + (request.getValue().atMillis() - ack) + " ms after the ack, ran " + (ranAt - ack)
						+ " ms after it, " + request.getValue().outcome() + ", " + request.getKey());
			}
			before += (ranAt != null && request.getValue().atMillis() < ack) ? 1 : 0;
		}
		rig.log("requests with key1: sent " + sent.size() + ", ran of those sent before the ack " + before
				+ ", ran of those sent later than " + REVOKE_MILLIS + " ms after the ack " + late.size());
		late.stream().sorted().limit(10).forEach(rig::log);
		if (before == 0) {
			return 2;
		}
		return late.isEmpty() ? 0 : 1;
	}

	private static void useKey(int port, AtomicInteger numbers, Map<String, Sent> sent, boolean[] stop) {
		while (!stop[0]) {
			try (Rig2.Client client = new Rig2.Client(port)) {
				while (!stop[0]) {
					String id = "k1-" + numbers.incrementAndGet();
					long at = Rig2.now();
					sent.put(id, new Sent(at, "no answer"));
					Rig2.Message answer = client
						.call(Rig2.Client.head("GET", "/read/x", "h.example", id, "key1", 1500), new byte[0]);
					sent.put(id, new Sent(at, "status " + answer.status()));
					Rig2.sleepUntil(at + INTERVAL_MILLIS);
					if ("close".equalsIgnoreCase(answer.header("connection"))) {
						break;
					}
				}
			}
			catch (IOException ex) {
				Rig2.sleep(INTERVAL_MILLIS);
			}
		}
	}

}
