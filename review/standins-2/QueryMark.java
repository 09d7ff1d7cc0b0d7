import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Requests whose query begins with a question mark, which a query may hold. Without the
 * disruption the same requests have a query that begins with a letter.
 */
final class QueryMark {

	private static final int REQUESTS = 20;

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
		Map<String, String> ran = new ConcurrentHashMap<>();
		Rig2.Work work = (request, out) -> {
			ran.put(request.header("x-request-id"), request.start.split(" ")[1]);
			Rig2.sleep(20);
			out.write(Rig2.Runner.success(request, new byte[800]));
		};
		for (int i = 0; i < 3; i++) {
			rig.closing(new Rig2.Runner("i-" + i, "catalogue", 6, work)).register(store);
		}
		store.put("op/config",
				Rig2.configuration(7, Rig2.route("read", "h.example", "idempotent", 1500, "catalogue", 2, ""),
						Rig2.plainService("catalogue"), Rig2.tenant("t0", "key0")));
		int peers = Rig2.freePort();
		Rig2.Role gateway = rig.gateway("edge-1", access.port(), peers, "127.0.0.1:" + peers);
		gateway.start();
		gateway.awaitReady(30_000);
		Rig2.sleep(2000);

		List<String> changed = new ArrayList<>();
		int answered = 0;
		try (Rig2.Client client = new Rig2.Client(gateway.callers)) {
			for (int i = 0; i < REQUESTS; i++) {
				String id = "q-" + i;
				String target = "/read/list?" + (Rig2.trouble() ? "?" : "") + "song=" + i + "&full?";
				int status = client.call(Rig2.Client.head("GET", target, "h.example", id, "key0", 1500), new byte[0])
					.status();
				String got = ran.get(id);
				rig.log(id + ": sent " + target + ", ran " + got + ", status " + status);
				answered += (status == 200) ? 1 : 0;
				if (got != null && !got.equals(target)) {
					changed.add(id);
				}
			}
		}
		rig.log("requests sent " + REQUESTS + ", answered 200 " + answered + ", run with a changed query "
				+ changed.size());
		if (ran.isEmpty()) {
			return 2;
		}
		return changed.isEmpty() ? 0 : 1;
	}

}
