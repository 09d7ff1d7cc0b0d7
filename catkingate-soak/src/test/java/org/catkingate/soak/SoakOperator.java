package org.catkingate.soak;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkingate.standins.Addresses;
import org.catkingate.standins.HttpService;

/**
 * The operator of the platform, who writes configurations and versions of the weights to
 * the registry. Safe for use by any thread.
 */
final class SoakOperator {

	static final String HOST = "songs.example";

	static final String DATA_CENTRE = "a";

	/** The region of each data centre. */
	static final Map<String, String> REGIONS = Map.of(DATA_CENTRE, "r", "b", "s");

	private static final String EVACUATION_PREFIX = "op/evacuate/";

	private static final String CONFIGURATION_KEY = "op/config";

	private static final String VERSION_KEY = "op/version/" + ModelWeights.MODEL;

	/** The account whose key stays. */
	private static final String PERMANENT_ACCOUNT = "bar-0";

	/** An account like that, whose requests are less urgent. */
	private static final String PATIENT_ACCOUNT = "bar-4";

	private static final int CHANGING_ACCOUNTS = 3;

	private final Map<String, List<String>> keysByAccount = new LinkedHashMap<>();

	private final List<String> allKeys = new ArrayList<>();

	private final Map<RequestKind, Set<String>> routeRegions = new EnumMap<>(RequestKind.class);

	private final Map<String, Set<String>> accountRegions = new HashMap<>();

	private final Map<String, Integer> evacuations = new HashMap<>();

	private final RegistryStandIn registry;

	private final InetSocketAddress origin;

	private final long timeoutMillis;

	private final Judge judge;

	private final SoakClock clock;

	private long version = 6;

	private long weightsVersion;

	private int nextKey = 1;

	SoakOperator(RegistryStandIn registry, InetSocketAddress origin, long timeoutMillis, Judge judge, SoakClock clock) {
		this.timeoutMillis = timeoutMillis;
		this.registry = registry;
		this.origin = origin;
		this.judge = judge;
		this.clock = clock;
		issueKey(PERMANENT_ACCOUNT);
		judge.keyIsPermanent(this.allKeys.get(0));
		issueKey("bar-1");
		issueKey("bar-2");
		issueKey("bar-3");
		issueKey(PATIENT_ACCOUNT);
		judge.keyIsPermanent(this.allKeys.get(this.allKeys.size() - 1));
		judge.accountPriority(PERMANENT_ACCOUNT, priority(PERMANENT_ACCOUNT));
		judge.accountPriority(PATIENT_ACCOUNT, priority(PATIENT_ACCOUNT));
		this.routeRegions.put(RequestKind.SONG, Set.of("r"));
		this.accountRegions.put("bar-2", Set.of("s"));
	}

	private static int priority(String account) {
		return account.equals(PERMANENT_ACCOUNT) ? 0 : 1;
	}

	private void issueKey(String account) {
		String key = "key" + this.nextKey;
		this.nextKey++;
		this.judge.keyIssued(key, account);
		this.keysByAccount.computeIfAbsent(account, (name) -> new ArrayList<>()).add(key);
		this.allKeys.add(key);
	}

	/**
	 * Returns the keys issued so far, including those withdrawn.
	 */
	synchronized List<String> allKeys() {
		return List.copyOf(this.allKeys);
	}

	/**
	 * Returns the newest version of the configuration.
	 */
	synchronized long version() {
		return this.version;
	}

	/**
	 * Publishes the next configuration.
	 */
	synchronized void publish() {
		this.version += 1 + this.version % 3;
		this.judge.regionsPublished(this.routeRegions, this.accountRegions);
		this.registry.put(CONFIGURATION_KEY, configuration());
		this.judge.regionsAccepted(this.clock.millis());
	}

	/**
	 * Publishes a configuration in which a route or one of the accounts whose keys change
	 * allows other regions. The accounts that are compared allow all.
	 * @param target decides which one
	 * @param regions the allowed regions, empty for all
	 */
	synchronized void restrict(int target, Set<String> regions) {
		int routes = RequestKind.values().length;
		int index = target % (routes + CHANGING_ACCOUNTS);
		if (index < routes) {
			restrict(this.routeRegions, RequestKind.values()[index], regions);
		}
		else {
			restrict(this.accountRegions, "bar-" + (1 + index - routes), regions);
		}
		publish();
	}

	private static <T> void restrict(Map<T, Set<String>> restrictions, T restricted, Set<String> regions) {
		if (regions.isEmpty()) {
			restrictions.remove(restricted);
		}
		else {
			restrictions.put(restricted, regions);
		}
	}

	/**
	 * Evacuates a data centre, also if it is evacuated already.
	 */
	synchronized void evacuate(String dataCentre) {
		this.evacuations.merge(dataCentre, 1, Integer::sum);
		this.registry.put(EVACUATION_PREFIX + dataCentre, HttpService.JSON.createObjectNode());
		this.judge.dataCentreEvacuated(dataCentre, this.clock.millis());
	}

	/**
	 * Takes a data centre back, once for each evacuation.
	 */
	synchronized void takeBack(String dataCentre) {
		if (this.evacuations.merge(dataCentre, -1, Integer::sum) == 0) {
			this.evacuations.remove(dataCentre);
			this.judge.evacuationEnds(dataCentre);
			this.registry.delete(EVACUATION_PREFIX + dataCentre);
		}
	}

	/**
	 * Publishes a configuration in which one account has a new key instead of its old
	 * one.
	 */
	synchronized void replaceKey(int accountIndex) {
		String account = "bar-" + (1 + accountIndex % CHANGING_ACCOUNTS);
		String withdrawn = this.keysByAccount.get(account).remove(0);
		issueKey(account);
		publish();
		this.judge.keyWithdrawn(withdrawn, this.clock.millis());
	}

	synchronized void declareNextWeights() {
		this.weightsVersion++;
		this.registry.put(VERSION_KEY, weights());
	}

	/**
	 * Returns to an older copy of the registry and writes what the operator has written
	 * since then.
	 */
	synchronized void restore(RegistryStandIn.Copy copy) {
		Map<String, JsonNode> written = new HashMap<>(
				Map.of(CONFIGURATION_KEY, configuration(), VERSION_KEY, weights()));
		this.evacuations.keySet()
			.forEach((dataCentre) -> written.put(EVACUATION_PREFIX + dataCentre, HttpService.JSON.createObjectNode()));
		this.registry.restore(copy, written);
		REGIONS.keySet()
			.stream()
			.filter((dataCentre) -> !this.evacuations.containsKey(dataCentre))
			.forEach((dataCentre) -> this.registry.delete(EVACUATION_PREFIX + dataCentre));
	}

	private ObjectNode weights() {
		return HttpService.JSON.createObjectNode().put("Model", ModelWeights.MODEL).put("Version", this.weightsVersion);
	}

	private JsonNode configuration() {
		ObjectNode json = HttpService.JSON.createObjectNode().put("Version", this.version);
		ArrayNode routes = json.putArray("Routes");
		for (RequestKind kind : RequestKind.values()) {
			String prefix = kind.pathPrefix() + ((kind == RequestKind.PROBE) ? this.version + "/" : "");
			ObjectNode route = routes.addObject();
			addRegions(route, this.routeRegions.get(kind));
			route.put("Name", "r-" + kind)
				.put("Host", HOST)
				.put("PathPrefix", prefix)
				.put("Type", kind.type())
				.put("TimeoutMs", this.timeoutMillis)
				.put("GoalMs", 500)
				.put("Priority", 1)
				.put("Service", kind.service())
				.put("Attempts", 2)
				.put("Public", false)
				.put("Sticky", kind == RequestKind.GENERATION)
				.put("Resumable", kind.isResumable());
		}
		ArrayNode services = json.putArray("Services");
		for (RequestKind kind : List.of(RequestKind.READ, RequestKind.SONG)) {
			services.addObject()
				.put("Name", kind.service())
				.put("MaxConns", 96)
				.put("HealthPath", "/healthz")
				.put("ColdPerS", ColdRunnerJudge.PUBLISHED_PER_SECOND)
				.put("ColdStartS", SoakRunner.COLD_MILLIS / 1000.0);
		}
		services.addObject()
			.put("Name", RequestKind.GENERATION.service())
			.put("MaxConns", 96)
			.put("HealthPath", "/healthz")
			.set("Engine", engine());
		services.addObject()
			.put("Name", "weights")
			.put("MaxConns", 48)
			.put("Zone", DATA_CENTRE)
			.put("Origin", Addresses.format(this.origin));
		json.putObject("Limits")
			.put("MaxHeaderBytes", 16_384)
			.put("MaxBodyBytes", 100_000)
			.put("HeaderTimeoutMs", 3000)
			.put("IdleTimeoutMs", 15_000);
		ArrayNode accounts = json.putArray("Tenants");
		this.keysByAccount.forEach((account, keys) -> {
			ObjectNode tenant = accounts.addObject().put("Name", account).put("Priority", priority(account));
			addRegions(tenant, this.accountRegions.get(account));
			ArrayNode list = tenant.putArray("ApiKeys");
			keys.forEach(list::add);
		});
		return json;
	}

	private static void addRegions(ObjectNode json, Set<String> regions) {
		if (regions != null) {
			ArrayNode list = json.putArray("RegionsAllowed");
			regions.forEach(list::add);
		}
	}

	private static ObjectNode engine() {
		ObjectNode json = HttpService.JSON.createObjectNode()
			.put("Slots", RunnerStandIn.SLOTS)
			.put("Stride", 5)
			.put("step_ms", 9.27)
			.put("per_seq_ms", 0.0232)
			.put("read_per_s", 20_700.0)
			.put("chunk", 2048)
			.put("layers", ModelWeights.PIECE_COUNT)
			.put("Chunks", ModelWeights.PIECE_COUNT)
			.put("ChunkBytes", ModelWeights.PIECE_BYTES);
		json.putObject("usual").put("prompt", 100).put("answer", 30);
		json.putArray("Models").addObject().put("Name", ModelWeights.MODEL).put("WarmupS", 0.3);
		return json;
	}

}
