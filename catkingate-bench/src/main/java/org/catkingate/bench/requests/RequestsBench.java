package org.catkingate.bench.requests;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import org.catkingate.decisions.retries.RetryPolicy;
import org.catkingate.decisions.routing.RoutingPolicies;
import org.catkingate.entry.EntryPolicies;
import org.catkingate.entry.RequestCounters;
import org.catkingate.standins.engine.EngineRun;

/**
 * A benchmark of requests through one entry and several agents. Everything runs in one
 * process, including engines and clients, so latency figures include their load on the
 * machine. Not thread-safe.
 */
public final class RequestsBench {

	private static final int CLIENT_IO_THREADS = 3;

	private static final double REQUESTS_PER_SECOND = 1100;

	private static final long LONG_TIMEOUT_MILLIS = 30_000;

	private final RequestsBenchOptions options;

	private final PrintStream out;

	private final XnioWorker clientWorker;

	private RequestsBench(RequestsBenchOptions options, PrintStream out) throws IOException {
		this.options = options;
		this.out = out;
		this.clientWorker = Xnio.getInstance()
			.createWorker(OptionMap.builder()
				.set(Options.WORKER_IO_THREADS, CLIENT_IO_THREADS)
				.set(Options.THREAD_DAEMON, true)
				.getMap());
	}

	/**
	 * Runs the selected parts.
	 * @param options the options
	 * @param out receives the results, one line each
	 * @throws Exception if a part cannot run
	 */
	public static void run(RequestsBenchOptions options, PrintStream out) throws Exception {
		RequestsBench bench = new RequestsBench(options, out);
		for (String part : options.only) {
			bench.run(part);
		}
		bench.clientWorker.shutdownNow();
	}

	private void run(String part) throws Exception {
		switch (part) {
			case "latency" -> measureLatency();
			case "tokens" -> measureTokens();
			case "overload" -> measureOverload();
			case "abandonment" -> measureAbandonment();
			case "retries" -> measureRetries();
			case "faults" -> measureFaults();
			default -> throw new IllegalArgumentException("unknown part '" + part + "'; see option --only");
		}
	}

	private void print(String format, Object... values) {
		this.out.println(String.format(Locale.ROOT, format, values));
	}

	private EntryPolicies defaultPolicies() {
		RetryPolicy retries = new RetryPolicy(this.options.attempts, RetryPolicy.defaults().baseDelayMillis());
		return new EntryPolicies(RoutingPolicies.localThenLeastLoaded(), retries, true, this.options.seed);
	}

	private LoadPlan steadyPlan(double callsPerSecond, int tokens, long timeoutMillis) {
		return LoadPlan.steady(this.options.seed, callsPerSecond, this.options.seconds, tokens, timeoutMillis);
	}

	private LoadRun runLoad(LoadClient client, LoadPlan plan) throws InterruptedException {
		return new LoadRun(client, plan).run();
	}

	private LoadClient clientOf(RequestFleet fleet) {
		return new LoadClient(this.clientWorker, fleet.entry().address());
	}

	private void warmUp(LoadClient client) throws InterruptedException {
		runLoad(client, LoadPlan.steady(0, REQUESTS_PER_SECOND, 3, 2, LONG_TIMEOUT_MILLIS));
	}

	private void measureLatency() throws Exception {
		try (RequestFleet fleet = RequestFleet.start(defaultPolicies(), 1, 256, 64, "--token-micros", "1000",
				"--concurrency", "1000")) {
			LoadClient directClient = new LoadClient(this.clientWorker, fleet.agents().get(0).engine().address());
			LoadClient entryClient = clientOf(fleet);
			warmUp(directClient);
			warmUp(entryClient);
			LoadPlan plan = steadyPlan(REQUESTS_PER_SECOND, 4, LONG_TIMEOUT_MILLIS);
			LoadRun directLoad = runLoad(directClient, plan);
			long before = fleet.entryCpuNanos();
			LoadRun entryLoad = runLoad(entryClient, plan);
			long cpuNanos = fleet.entryCpuNanos() - before;
			printLatency("direct", directLoad);
			printLatency("through", entryLoad);
			print("latency added_first_token_ms p50=%.2f p95=%.2f p99=%.2f entry_cpu_micros_per_request=%.0f",
					entryLoad.firstByteMillis(50) - directLoad.firstByteMillis(50),
					entryLoad.firstByteMillis(95) - directLoad.firstByteMillis(95),
					entryLoad.firstByteMillis(99) - directLoad.firstByteMillis(99),
					cpuNanos / 1000.0 / Math.max(1, entryLoad.successfulCalls()));
		}
	}

	private void printLatency(String name, LoadRun load) {
		print("latency %s good=%d refused=%d broken=%d first_token_ms p50=%.2f p95=%.2f p99=%.2f", name,
				load.successfulCalls(), load.rejectedCalls(), load.failedCalls(), load.firstByteMillis(50),
				load.firstByteMillis(95), load.firstByteMillis(99));
	}

	private void measureTokens() throws Exception {
		int runners = 8;
		int streams = 1000;
		int perStream = (int) (250 * this.options.seconds);
		try (RequestFleet fleet = RequestFleet.start(defaultPolicies(), runners, streams, 100, "--token-micros", "4000",
				"--concurrency", "1000")) {
			LoadClient client = clientOf(fleet);
			warmUp(client);
			long before = fleet.entryCpuNanos();
			long start = System.nanoTime();
			LoadRun load = runLoad(client, LoadPlan.steady(this.options.seed, streams, 1, perStream, 60_000));
			double seconds = (System.nanoTime() - start) / 1e9;
			double cpuSeconds = (fleet.entryCpuNanos() - before) / 1e9;
			long tokens = load.successfulCalls() * (long) perStream;
			print("tokens streams=%d good=%d broken=%d tokens_per_s=%.0f entry_cores=%.2f "
					+ "entry_cpu_micros_per_token=%.2f", streams, load.successfulCalls(), load.failedCalls(),
					tokens / seconds, cpuSeconds / seconds, cpuSeconds * 1e6 / Math.max(1, tokens));
		}
	}

	private void measureOverload() throws Exception {
		int runners = 4;
		int slots = 16;
		// a request takes 50 ms: 10 tokens of 5 ms each
		double capacity = runners * slots / 0.05;
		try (RequestFleet fleet = RequestFleet.start(defaultPolicies(), runners, slots, slots, "--token-micros",
				"5000")) {
			LoadClient client = clientOf(fleet);
			warmUp(client);
			LoadRun atCapacity = runLoad(client, steadyPlan(capacity, 10, 500));
			LoadRun atTwiceCapacity = runLoad(client, steadyPlan(2 * capacity, 10, 500));
			printOverload("at_capacity", atCapacity);
			printOverload("at_twice", atTwiceCapacity);
			print("overload goodput_at_twice_percent=%.1f",
					100 * atTwiceCapacity.successfulCallsPerSecond() / atCapacity.successfulCallsPerSecond());
		}
	}

	private void printOverload(String name, LoadRun load) {
		print("overload %s good_per_s=%.0f refused=%d broken=%d refusal_ms p50=%.2f p99=%.2f total_ms p99=%.1f", name,
				load.successfulCallsPerSecond(), load.rejectedCalls(), load.failedCalls(), load.rejectionMillis(50),
				load.rejectionMillis(99), load.totalMillis(99));
	}

	private void measureAbandonment() throws Exception {
		int tokens = 100;
		try (RequestFleet fleet = RequestFleet.start(defaultPolicies(), 4, 200, 64, "--token-micros", "20000",
				"--concurrency", "200")) {
			LoadClient client = clientOf(fleet);
			warmUp(client);
			long warmUpRuns = engineRuns(fleet).size();
			LoadRun load = runLoad(client, steadyPlan(200, tokens, LONG_TIMEOUT_MILLIS).withAbandonment(60, 2000));
			List<EngineRun> runs = engineRuns(fleet).subList((int) warmUpRuns, engineRuns(fleet).size());
			long generated = runs.stream().mapToLong(EngineRun::tokens).sum();
			long received = load.receivedTokens();
			print("abandonment calls_left=%d tokens_generated=%d tokens_received=%d "
					+ "tokens_after_leaving_percent=%.2f", fleet.entry().counters().callersDisconnected().sum(),
					generated, received, 100.0 * Math.max(0, generated - received) / Math.max(1, generated));
		}
	}

	private static List<EngineRun> engineRuns(RequestFleet fleet) {
		return fleet.agents()
			.stream()
			.flatMap((agent) -> agent.engine().runs().stream())
			.sorted(Comparator.comparingLong(EngineRun::endedMillis))
			.toList();
	}

	private Map<String, EntryPolicies> policiesByName() {
		long seed = this.options.seed;
		Map<String, EntryPolicies> policies = new LinkedHashMap<>();
		policies.put("own", EntryPolicies.defaults(seed));
		policies.put("random", new EntryPolicies(RoutingPolicies.randomChoice(), RetryPolicy.defaults(), true, seed));
		policies.put("round-robin",
				new EntryPolicies(RoutingPolicies.roundRobin(), RetryPolicy.defaults(), true, seed));
		policies.put("no-retry-budget",
				new EntryPolicies(RoutingPolicies.localThenLeastLoaded(), RetryPolicy.defaults(), false, seed));
		return policies;
	}

	private void measureRetries() throws Exception {
		for (Map.Entry<String, EntryPolicies> policy : policiesByName().entrySet()) {
			try (RequestFleet fleet = RequestFleet.start(policy.getValue(), 12, 32, 32, "--token-micros", "5000")) {
				LoadClient client = clientOf(fleet);
				warmUp(client);
				for (int i = 0; i < 4; i++) {
					fleet.agents().get(i).engine().configure("--down", "true");
				}
				RequestCounters counters = fleet.entry().counters();
				long startedBefore = counters.started().sum();
				long retriedBefore = counters.retries().sum();
				LoadRun load = runLoad(client, steadyPlan(REQUESTS_PER_SECOND, 10, 5000));
				double requests = counters.started().sum() - startedBefore;
				print("retries %s good=%d refused=%d broken=%d amplification=%.3f", policy.getKey(),
						load.successfulCalls(), load.rejectedCalls(), load.failedCalls(),
						(requests + counters.retries().sum() - retriedBefore) / requests);
			}
		}
	}

	private void measureFaults() throws Exception {
		for (Map.Entry<String, EntryPolicies> policy : policiesByName().entrySet()) {
			try (RequestFleet fleet = RequestFleet.start(policy.getValue(), 12, 32, 32, "--token-micros", "5000")) {
				LoadClient client = clientOf(fleet);
				warmUp(client);
				LoadRun healthyLoad = runLoad(client, steadyPlan(REQUESTS_PER_SECOND, 10, 5000));
				fleet.agents().get(0).engine().configure("--token-micros", "1000000000");
				fleet.agents().get(1).engine().configure("--token-micros", "50000");
				fleet.agents().get(2).engine().configure("--down", "true");
				LoadRun faultyLoad = runLoad(client, steadyPlan(REQUESTS_PER_SECOND, 10, 5000));
				print("faults %s healthy_p99_ms=%.1f faulty_p50_ms=%.1f faulty_p99_ms=%.1f good_percent=%.2f "
						+ "refused=%d broken=%d", policy.getKey(), healthyLoad.totalMillis(99),
						faultyLoad.totalMillis(50), faultyLoad.totalMillis(99),
						100.0 * faultyLoad.successfulCalls() / (REQUESTS_PER_SECOND * this.options.seconds),
						faultyLoad.rejectedCalls(), faultyLoad.failedCalls());
			}
		}
	}

}
