package org.catkingate.decisions.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

import org.catkingate.decisions.Effect;
import org.catkingate.model.AccountName;
import org.catkingate.model.InstanceId;

/**
 * Simulates a few agents of one service, the instance list of the platform, and callers
 * that repeat their calls, with faults drawn from a seed: network partitions, pauses,
 * restarts, replacements that start while their predecessors still run, and messages that
 * are delayed, lost or duplicated.
 */
final class KeySimulation {

	static final VouchingBounds BOUNDS = new VouchingBounds(1_000, 2_000, 2_000, 500, 400);

	static final long REPEAT_WINDOW_MILLIS = 6_000;

	private static final long DURATION_MILLIS = 120_000;

	private static final long STEP_MILLIS = 100;

	private static final long START_MILLIS = 1_700_000_000_000L;

	private static final long MAX_MESSAGE_DELAY_MILLIS = 3_000;

	private static final int INSTANCE_NAMES = 3;

	private final Random random;

	private final ListBehavior listBehavior;

	private final int expectedRunners;

	private final List<SimulatedAgent> agents = new ArrayList<>();

	private final TreeMap<Long, List<KeyHome>> actualLists = new TreeMap<>();

	private final Map<KeyHome, List<KeyHome>> arbitraryLists = new HashMap<>();

	private final PriorityQueue<ScheduledAction> scheduledActions = new PriorityQueue<>(
			(a, b) -> Long.compare(a.atMillis(), b.atMillis()));

	private final Map<ScopedKey, Long> firstAttempts = new HashMap<>();

	final Map<ScopedKey, Integer> runs = new HashMap<>();

	final Map<Verdict.Reason, Integer> verdicts = new TreeMap<>();

	private long now = START_MILLIS;

	private int nextPort = 1;

	private int keyCount;

	/** The errors of the instance list. */
	enum ListBehavior {

		/** The list lags behind within the bound, while instances are replaced. */
		LAGGING,

		/**
		 * Each reader gets an arbitrary subset of the list, while the set of instances
		 * stays the same.
		 */
		ARBITRARY

	}

	KeySimulation(long seed, ListBehavior lists, int expectedRunners) {
		this.random = new Random(seed);
		this.listBehavior = lists;
		this.expectedRunners = expectedRunners;
		List<KeyHome> initial = new ArrayList<>();
		for (int index = 0; index < INSTANCE_NAMES; index++) {
			KeyHome home = home(index);
			initial.add(home);
			this.agents.add(new SimulatedAgent(home, this.random));
		}
		this.actualLists.put(START_MILLIS - DURATION_MILLIS, initial);
	}

	void run() {
		while (this.now < START_MILLIS + DURATION_MILLIS) {
			this.now += STEP_MILLIS;
			injectFaults();
			for (SimulatedAgent agent : List.copyOf(this.agents)) {
				readList(agent);
				send(agent, agent.reduce(this.now, new KeyEvent.StatementsDue()));
			}
			makeAttempts();
			runDueActions();
		}
	}

	private void injectFaults() {
		if (chance(60)) {
			randomAgent().pausedUntilMillis = this.now + this.random.nextInt(8_000);
		}
		if (chance(80)) {
			SimulatedAgent agent = randomAgent();
			agent.partitioned = !agent.partitioned;
		}
		if (this.listBehavior == ListBehavior.LAGGING && chance(80)) {
			SimulatedAgent agent = randomAgent();
			agent.withoutList = !agent.withoutList;
		}
		if (chance(150)) {
			restart(randomAgent());
		}
		if (chance(200)) {
			changeList();
		}
		if (chance(200)) {
			this.agents.forEach((agent) -> agent.partitioned = false);
			this.agents.forEach((agent) -> agent.withoutList = false);
		}
	}

	private void restart(SimulatedAgent agent) {
		agent.alive = false;
		this.agents.remove(agent);
		if (this.listBehavior == ListBehavior.ARBITRARY) {
			changeArbitraryList(agent);
		}
		this.agents.add(new SimulatedAgent(agent.home(), this.random));
	}

	private void changeList() {
		if (this.listBehavior == ListBehavior.LAGGING) {
			changeActualList();
		}
		else {
			changeArbitraryList();
		}
	}

	private void changeActualList() {
		List<KeyHome> list = new ArrayList<>(this.actualLists.lastEntry().getValue());
		if (list.size() > 1 && !chance(3)) {
			list.remove(this.random.nextInt(list.size()));
		}
		if (list.size() < INSTANCE_NAMES + 1 && !chance(3)) {
			KeyHome replacement = home(this.random.nextInt(INSTANCE_NAMES + 2));
			list.removeIf((home) -> home.instance().equals(replacement.instance()));
			list.add(replacement);
			this.agents.add(new SimulatedAgent(replacement, this.random));
		}
		this.actualLists.put(this.now, list);
		if (this.agents.size() > 2 * INSTANCE_NAMES) {
			this.agents.remove(0).alive = false;
		}
	}

	private void changeArbitraryList() {
		changeArbitraryList(randomAgent());
	}

	private void changeArbitraryList(SimulatedAgent agent) {
		List<KeyHome> all = this.actualLists.firstEntry().getValue();
		List<KeyHome> subset = all.stream()
			.filter((home) -> home.equals(agent.home()) || this.random.nextBoolean())
			.toList();
		this.arbitraryLists.put(agent.home(), (chance(2)) ? all : subset);
	}

	private KeyHome home(int name) {
		return new KeyHome(new InstanceId("i" + name), "10.0.0.1", this.nextPort++);
	}

	private void readList(SimulatedAgent agent) {
		if (agent.withoutList || chance(2)) {
			return;
		}
		HomeView view = HomeView.of(this.expectedRunners,
				(this.listBehavior == ListBehavior.LAGGING) ? laggingList() : arbitraryList(agent));
		List<KeyEvent> events = agent.listRead(this.now, view);
		schedule(this.now + this.random.nextInt(500), agent,
				() -> events.forEach((event) -> agent.reduce(this.now, event)));
	}

	private List<KeyHome> laggingList() {
		long readMillis = this.now - this.random.nextInt((int) BOUNDS.maxListLagMillis());
		return this.actualLists.floorEntry(readMillis).getValue();
	}

	private List<KeyHome> arbitraryList(SimulatedAgent agent) {
		return this.arbitraryLists.getOrDefault(agent.home(), this.actualLists.firstEntry().getValue());
	}

	private void send(SimulatedAgent sender, List<Effect> effects) {
		if (this.now < sender.pausedUntilMillis) {
			return;
		}
		for (Effect effect : effects) {
			if (effect instanceof KeyEffect.RequestStatement request) {
				deliver(sender, request.agent(), new KeyEvent.StatementRequested(sender.home().instance(),
						request.service(), request.requestedAtMillis()));
			}
			if (effect instanceof KeyEffect.SendStatement response) {
				deliver(sender, response.agent(), new KeyEvent.StatementReceived(sender.home().instance(),
						response.service(), response.requestedAtMillis(), response.statement()));
			}
		}
	}

	private void deliver(SimulatedAgent sender, InstanceId name, KeyEvent event) {
		for (SimulatedAgent receiver : this.agents) {
			boolean isPartitioned = sender.partitioned != receiver.partitioned;
			if (receiver.home().instance().equals(name) && !isPartitioned && !chance(10)) {
				int copies = (chance(10)) ? 2 : 1;
				for (int copy = 0; copy < copies; copy++) {
					long delay = (chance(10)) ? this.random.nextInt((int) MAX_MESSAGE_DELAY_MILLIS)
							: this.random.nextInt(20);
					schedule(this.now + delay, receiver, () -> send(receiver, receiver.reduce(this.now, event)));
				}
			}
		}
	}

	private void makeAttempts() {
		if (chance(4)) {
			String key = "key-" + this.keyCount++;
			if (this.random.nextBoolean()) {
				long createdAtMillis = this.now + this.random.nextInt(4_000) - 2_000;
				key = String.format("%08x-%04x-7000-8000-%012x", createdAtMillis >> 16, createdAtMillis & 0xffff,
						this.keyCount);
			}
			ScopedKey scopedKey = new ScopedKey(new AccountName("bar"), SimulatedAgent.SERVICE, key);
			this.firstAttempts.put(scopedKey, this.now);
		}
		this.firstAttempts.entrySet().removeIf((entry) -> this.now - entry.getValue() > 2 * REPEAT_WINDOW_MILLIS);
		for (Map.Entry<ScopedKey, Long> entry : this.firstAttempts.entrySet()) {
			boolean mayRepeat = this.now - entry.getValue() <= REPEAT_WINDOW_MILLIS
					|| KeyTimestamp.createdAtMillis(entry.getKey().key()).isPresent();
			if (mayRepeat && chance(6)) {
				attempt(randomAgent(), entry.getKey());
			}
		}
	}

	private void attempt(SimulatedAgent agent, ScopedKey scopedKey) {
		long sentAtMillis = this.now;
		schedule(this.now + this.random.nextInt(600), agent, () -> {
			if (this.now - sentAtMillis > BOUNDS.maxTransitMillis()) {
				return;
			}
			Verdict.Reason reason = agent.admit(scopedKey, this.now);
			if (reason == Verdict.Reason.VOUCHED) {
				start(agent, scopedKey, this.now);
			}
			if (reason != null) {
				this.verdicts.merge(reason, 1, Integer::sum);
			}
		});
	}

	private void start(SimulatedAgent agent, ScopedKey scopedKey, long admittedAtMillis) {
		long waitMillis = (chance(4)) ? this.random.nextInt(3_000) : 0;
		schedule(this.now + waitMillis, agent, () -> {
			if (agent.start(scopedKey, this.now - admittedAtMillis, this.now)) {
				this.runs.merge(scopedKey, 1, Integer::sum);
				schedule(this.now + this.random.nextInt(2_000), agent, () -> agent.end(scopedKey, this.now));
			}
		});
	}

	private void runDueActions() {
		while (!this.scheduledActions.isEmpty() && this.scheduledActions.peek().atMillis() <= this.now) {
			ScheduledAction next = this.scheduledActions.poll();
			if (!next.agent().alive) {
				continue;
			}
			if (this.now < next.agent().pausedUntilMillis) {
				schedule(next.agent().pausedUntilMillis, next.agent(), next.action());
				continue;
			}
			next.action().run();
		}
	}

	private void schedule(long time, SimulatedAgent agent, Runnable action) {
		this.scheduledActions.add(new ScheduledAction(Math.max(time, this.now), agent, action));
	}

	private SimulatedAgent randomAgent() {
		return this.agents.get(this.random.nextInt(this.agents.size()));
	}

	private boolean chance(int oneIn) {
		return this.random.nextInt(oneIn) == 0;
	}

	private record ScheduledAction(long atMillis, SimulatedAgent agent, Runnable action) {

	}

}
