package org.catkingate.tests.faults;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;

import org.catkingate.standins.plain.PlainService;
import org.catkingate.standins.weights.GeneratedWeights;
import org.catkingate.tests.harness.Caller;
import org.catkingate.tests.harness.ChildProcess;
import org.catkingate.tests.harness.FleetProcesses;
import org.catkingate.tests.harness.Member;
import org.catkingate.tests.harness.Response;
import org.catkingate.tests.harness.TestConfiguration;

/**
 * A fleet of two entries, two agents with an engine each and two agents with a plain
 * service each, all of them serving requests. Not thread-safe.
 */
public final class ServingFleet implements AutoCloseable {

	private static final int COUNT_PER_ROLE = 2;

	private static final long WEIGHTS_BYTES = 2_000_000;

	private static final int CHUNK_BYTES = 65_536;

	private final FleetProcesses processes;

	private final List<EngineProcess> engines = new ArrayList<>();

	private final List<PlainService> shops = new ArrayList<>();

	private final List<Member> engineAgents = new ArrayList<>();

	private final List<Member> shopAgents = new ArrayList<>();

	private final List<Member> entries = new ArrayList<>();

	private final List<Caller> callers = new ArrayList<>();

	private final Set<String> digests = new TreeSet<>();

	private GeneratedWeights weights;

	private ServingFleet(FleetProcesses processes) {
		this.processes = processes;
	}

	/**
	 * Starts all processes and waits until both entries serve every kind of request.
	 */
	public static ServingFleet start(Path directory, String... engineOptions) throws IOException {
		ServingFleet serving = new ServingFleet(FleetProcesses.create(directory));
		try {
			serving.startProcesses(engineOptions);
			return serving;
		}
		catch (RuntimeException | Error ex) {
			serving.close();
			throw ex;
		}
	}

	private void startProcesses(String... engineOptions) {
		publishNextVersion();
		for (int i = 1; i <= COUNT_PER_ROLE; i++) {
			EngineProcess engine = EngineProcess.start(this.processes, "engine-" + i, engineOptions);
			PlainService shop = this.processes.register(PlainService.start());
			this.engines.add(engine);
			this.shops.add(shop);
			this.engineAgents.add(this.processes.startAgent("gpu-" + i, "gpu", "llm", engine.address()));
			this.shopAgents.add(this.processes.startAgent("shop-" + i, "shop", "shop", shop.address()));
		}
		for (int i = 1; i <= COUNT_PER_ROLE; i++) {
			Member entry = this.processes.startEntry("entry-" + i);
			this.entries.add(entry);
			this.callers.add(Caller.of(entry, TestConfiguration.API_KEY));
		}
		this.entries.forEach(Member::awaitReady);
		awaitServing();
	}

	/**
	 * Publishes the next version of the model, which shares half of its chunks with the
	 * previous one.
	 */
	public GeneratedWeights publishNextVersion() {
		addNextVersion();
		publish();
		return this.weights;
	}

	/**
	 * Publishes the next version of the model while the previous one may respond too.
	 */
	public GeneratedWeights rollOutNextVersion() {
		GeneratedWeights previous = this.weights;
		addNextVersion();
		this.processes.publish(TestConfiguration.rolloutParts(COUNT_PER_ROLE, previous, this.weights));
		return this.weights;
	}

	private void addNextVersion() {
		int number = this.digests.size() + 1;
		this.weights = GeneratedWeights.of(new GeneratedWeights.Specification("lyrics", Integer.toString(number),
				number, 0, 2, WEIGHTS_BYTES, CHUNK_BYTES));
		this.digests.add(this.weights.digest());
		this.processes.origin().add(this.weights);
	}

	public long publish() {
		return this.processes.publish(TestConfiguration.parts(COUNT_PER_ROLE, this.weights));
	}

	/**
	 * Waits until each entry gives complete responses to a completion by the newest
	 * version, to a lookup and to a purchase.
	 */
	public void awaitServing() {
		for (Caller caller : this.callers) {
			Awaitility.await("fleet serving")
				.atMost(ChildProcess.TIMEOUT)
				.pollInterval(100, TimeUnit.MILLISECONDS)
				.ignoreExceptions()
				.until(() -> isServing(caller));
		}
	}

	private boolean isServing(Caller caller) throws Exception {
		long timeoutMillis = 5000;
		Response completion = caller.requestCompletion("probe", 1).get(timeoutMillis, TimeUnit.MILLISECONDS);
		Response lookup = caller.lookUp("probe").get(timeoutMillis, TimeUnit.MILLISECONDS);
		String key = caller.requestIdempotencyKey().get(timeoutMillis, TimeUnit.MILLISECONDS).orElseThrow();
		Response purchase = caller.purchase(key, "probe").get(timeoutMillis, TimeUnit.MILLISECONDS);
		return completion.isCompleteStream() && completion.digest().filter(this.weights.digest()::equals).isPresent()
				&& lookup.isSuccessful() && purchase.isSuccessful();
	}

	public FleetProcesses processes() {
		return this.processes;
	}

	public GeneratedWeights weights() {
		return this.weights;
	}

	public Set<String> digests() {
		return this.digests;
	}

	public List<EngineProcess> engines() {
		return this.engines;
	}

	public List<PlainService> shops() {
		return this.shops;
	}

	public List<Member> engineAgents() {
		return this.engineAgents;
	}

	public List<Member> shopAgents() {
		return this.shopAgents;
	}

	public List<Member> agents() {
		List<Member> all = new ArrayList<>(this.engineAgents);
		all.addAll(this.shopAgents);
		return all;
	}

	public List<Member> entries() {
		return this.entries;
	}

	public List<Caller> callers() {
		return this.callers;
	}

	@Override
	public void close() {
		this.processes.close();
	}

}
