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
 * A few agents of one service, the platform's list and callers who repeat, under faults
 * drawn from a seed: cuts, pauses, restarts, replacements that start while their
 * predecessors live on, messages that are late, lost or doubled.
 */
final class KeyWorld {

	static final VouchingTimes TIMES = new VouchingTimes(1_000, 2_000, 2_000, 500, 400);

	static final long WINDOW = 6_000;

	private static final long END = 120_000;

	private static final long STEP = 100;

	private static final long EPOCH = 1_700_000_000_000L;

	private static final long MESSAGE_DELAY = 3_000;

	private static final int NAMES = 3;

	private final Random random;

	private final Lists lists;

	private final int expectedRunners;

	private final List<ModelAgent> agents = new ArrayList<>();

	private final TreeMap<Long, List<KeyHome>> trueLists = new TreeMap<>();

	private final Map<KeyHome, List<KeyHome>> arbitraryLists = new HashMap<>();

	private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));

	private final Map<KeyScope, Long> firstAttempts = new HashMap<>();

	final Map<KeyScope, Integer> runs = new HashMap<>();

	final Map<Verdict.Reason, Integer> reasons = new TreeMap<>();

	private long now = EPOCH;

	private int ports = 1;

	private int keys;

	/** How the platform's list errs. */
	enum Lists {

		/** It lags behind within the bound, while instances are replaced. */
		LAGGING,

		/** Each reader gets any part of it, while the set of instances stays. */
		ARBITRARY

	}

	KeyWorld(long seed, Lists lists, int expectedRunners) {
		this.random = new Random(seed);
		this.lists = lists;
		this.expectedRunners = expectedRunners;
		List<KeyHome> first = new ArrayList<>();
		for (int index = 0; index < NAMES; index++) {
			KeyHome home = home(index);
			first.add(home);
			this.agents.add(new ModelAgent(home, this.random));
		}
		this.trueLists.put(EPOCH - END, first);
	}

	void play() {
		while (this.now < EPOCH + END) {
			this.now += STEP;
			faults();
			for (ModelAgent agent : List.copyOf(this.agents)) {
				readList(agent);
				send(agent, agent.reduce(this.now, new KeyEvent.AskTime()));
			}
			attempts();
			deliver();
		}
	}

	private void faults() {
		if (chance(60)) {
			any().pausedUntil = this.now + this.random.nextInt(8_000);
		}
		if (chance(80)) {
			ModelAgent agent = any();
			agent.isCutOff = !agent.isCutOff;
		}
		if (this.lists == Lists.LAGGING && chance(80)) {
			ModelAgent agent = any();
			agent.isWithoutList = !agent.isWithoutList;
		}
		if (chance(150)) {
			restart(any());
		}
		if (chance(200)) {
			changeList();
		}
		if (chance(200)) {
			this.agents.forEach((agent) -> agent.isCutOff = false);
			this.agents.forEach((agent) -> agent.isWithoutList = false);
		}
	}

	private void restart(ModelAgent agent) {
		agent.isAlive = false;
		this.agents.remove(agent);
		if (this.lists == Lists.ARBITRARY) {
			changeArbitraryList(agent);
		}
		this.agents.add(new ModelAgent(agent.home(), this.random));
	}

	private void changeList() {
		if (this.lists == Lists.LAGGING) {
			changeTrueList();
		}
		else {
			changeArbitraryList();
		}
	}

	private void changeTrueList() {
		List<KeyHome> list = new ArrayList<>(this.trueLists.lastEntry().getValue());
		if (list.size() > 1 && !chance(3)) {
			list.remove(this.random.nextInt(list.size()));
		}
		if (list.size() < NAMES + 1 && !chance(3)) {
			KeyHome successor = home(this.random.nextInt(NAMES + 2));
			list.removeIf((home) -> home.instance().equals(successor.instance()));
			list.add(successor);
			this.agents.add(new ModelAgent(successor, this.random));
		}
		this.trueLists.put(this.now, list);
		if (this.agents.size() > 2 * NAMES) {
			this.agents.remove(0).isAlive = false;
		}
	}

	private void changeArbitraryList() {
		changeArbitraryList(any());
	}

	private void changeArbitraryList(ModelAgent agent) {
		List<KeyHome> all = this.trueLists.firstEntry().getValue();
		List<KeyHome> some = all.stream()
			.filter((home) -> home.equals(agent.home()) || this.random.nextBoolean())
			.toList();
		this.arbitraryLists.put(agent.home(), (chance(2)) ? all : some);
	}

	private KeyHome home(int name) {
		return new KeyHome(new InstanceId("i" + name), "10.0.0.1", this.ports++);
	}

	private void readList(ModelAgent agent) {
		if (agent.isWithoutList || chance(2)) {
			return;
		}
		HomeView view = HomeView.of(this.expectedRunners, (this.lists == Lists.LAGGING) ? lagging() : arbitrary(agent));
		List<KeyEvent> events = agent.listRead(this.now, view);
		at(this.now + this.random.nextInt(500), agent, () -> events.forEach((event) -> agent.reduce(this.now, event)));
	}

	private List<KeyHome> lagging() {
		long then = this.now - this.random.nextInt((int) TIMES.listLagMillis());
		return this.trueLists.floorEntry(then).getValue();
	}

	private List<KeyHome> arbitrary(ModelAgent agent) {
		return this.arbitraryLists.getOrDefault(agent.home(), this.trueLists.firstEntry().getValue());
	}

	private void send(ModelAgent sender, List<Effect> effects) {
		if (this.now < sender.pausedUntil) {
			return;
		}
		for (Effect effect : effects) {
			if (effect instanceof KeyEffect.Ask ask) {
				deliver(sender, ask.agent(),
						new KeyEvent.Asked(sender.home().instance(), ask.service(), ask.askedAtMillis()));
			}
			if (effect instanceof KeyEffect.Answer answer) {
				deliver(sender, answer.agent(), new KeyEvent.Stated(sender.home().instance(), answer.service(),
						answer.askedAtMillis(), answer.statement()));
			}
		}
	}

	private void deliver(ModelAgent sender, InstanceId name, KeyEvent event) {
		for (ModelAgent receiver : this.agents) {
			boolean isCut = sender.isCutOff != receiver.isCutOff;
			if (receiver.home().instance().equals(name) && !isCut && !chance(10)) {
				int copies = (chance(10)) ? 2 : 1;
				for (int copy = 0; copy < copies; copy++) {
					long delay = (chance(10)) ? this.random.nextInt((int) MESSAGE_DELAY) : this.random.nextInt(20);
					at(this.now + delay, receiver, () -> send(receiver, receiver.reduce(this.now, event)));
				}
			}
		}
	}

	private void attempts() {
		if (chance(4)) {
			String key = "key-" + this.keys++;
			if (this.random.nextBoolean()) {
				long born = this.now + this.random.nextInt(4_000) - 2_000;
				key = String.format("%08x-%04x-7000-8000-%012x", born >> 16, born & 0xffff, this.keys);
			}
			KeyScope scope = new KeyScope(new AccountName("bar"), ModelAgent.SERVICE, key);
			this.firstAttempts.put(scope, this.now);
		}
		this.firstAttempts.entrySet().removeIf((entry) -> this.now - entry.getValue() > 2 * WINDOW);
		for (Map.Entry<KeyScope, Long> entry : this.firstAttempts.entrySet()) {
			boolean mayRepeat = this.now - entry.getValue() <= WINDOW
					|| KeyAge.bornAtMillis(entry.getKey().key()).isPresent();
			if (mayRepeat && chance(6)) {
				attempt(any(), entry.getKey());
			}
		}
	}

	private void attempt(ModelAgent agent, KeyScope scope) {
		long sentAt = this.now;
		at(this.now + this.random.nextInt(600), agent, () -> {
			if (this.now - sentAt > TIMES.transitMillis()) {
				return;
			}
			Verdict.Reason reason = agent.admit(scope, this.now);
			if (reason == Verdict.Reason.VOUCHED) {
				start(agent, scope, this.now);
			}
			if (reason != null) {
				this.reasons.merge(reason, 1, Integer::sum);
			}
		});
	}

	private void start(ModelAgent agent, KeyScope scope, long admittedAt) {
		long wait = (chance(4)) ? this.random.nextInt(3_000) : 0;
		at(this.now + wait, agent, () -> {
			if (agent.start(scope, this.now - admittedAt, this.now)) {
				this.runs.merge(scope, 1, Integer::sum);
				at(this.now + this.random.nextInt(2_000), agent, () -> agent.end(scope, this.now));
			}
		});
	}

	private void deliver() {
		while (!this.due.isEmpty() && this.due.peek().at() <= this.now) {
			Due next = this.due.poll();
			if (!next.agent().isAlive) {
				continue;
			}
			if (this.now < next.agent().pausedUntil) {
				at(next.agent().pausedUntil, next.agent(), next.action());
				continue;
			}
			next.action().run();
		}
	}

	private void at(long time, ModelAgent agent, Runnable action) {
		this.due.add(new Due(Math.max(time, this.now), agent, action));
	}

	private ModelAgent any() {
		return this.agents.get(this.random.nextInt(this.agents.size()));
	}

	private boolean chance(int oneIn) {
		return this.random.nextInt(oneIn) == 0;
	}

	private record Due(long at, ModelAgent agent, Runnable action) {

	}

}
