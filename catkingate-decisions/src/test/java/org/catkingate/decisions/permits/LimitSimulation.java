package org.catkingate.decisions.permits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.catkingate.decisions.coldstart.ColdRunner;
import org.catkingate.decisions.coldstart.KnownGateways;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RunnerId;
import org.catkingate.model.permits.LimitReport;
import org.catkingate.model.prompts.RunnerStart;

/**
 * A simulation of gateways, the first of which are issuers, and of runners that state a
 * limit for a while or are cold. Deterministic for a seed and a scenario.
 */
final class LimitSimulation {

	static final long LIMIT_FROM_MILLIS = 5000;

	static final long WINDOW_MILLIS = 4000;

	private static final long CONTACT_MILLIS = 3000;

	private static final long TOLD_MILLIS = 500;

	private static final long STEP_MILLIS = 5;

	private static final int ISSUERS = 3;

	/** The time by which gateways that start together send to cold runners. */
	static final long COLD_FROM_MILLIS = 4000;

	private static final long SECOND_MILLIS = 1000;

	/** The part of the messages on gateways that are lost with their connection. */
	private static final double LOSS = 0.05;

	private static final long RECONNECT_MILLIS = 500;

	/** How often a waiting call is tried, and in which intervals. */
	private static final int MAX_TRIES = 6;

	private static final long RETRY_MILLIS = 50;

	private final PriorityQueue<Action> actions = new PriorityQueue<>();

	private final List<Gateway> gateways = new ArrayList<>();

	private final List<Runner> runners = new ArrayList<>();

	private final Scenario scenario;

	private final Random random;

	private long now;

	private long order;

	private long calls;

	private long stepsInUse;

	private LimitSimulation(long seed, Scenario scenario) {
		this.random = new Random(seed);
		this.scenario = scenario;
		for (int i = 0; i < scenario.gateways(); i++) {
			this.gateways.add(new Gateway(i));
		}
		for (int i = 0; i < scenario.runners(); i++) {
			this.runners.add(new Runner(i));
		}
	}

	static LimitSimulation run(long seed, Scenario scenario) {
		LimitSimulation simulation = new LimitSimulation(seed, scenario);
		if (scenario.coldAllowance() > 0) {
			simulation.gateways.forEach(Gateway::startLate);
		}
		if (scenario.disruption() != Disruption.NONE) {
			boolean fromStart = scenario.coldAllowance() > 0;
			simulation.schedule(fromStart ? simulation.random.nextInt(3000) : 8000, simulation::disrupt);
		}
		while (simulation.now < scenario.endMillis()) {
			while (!simulation.actions.isEmpty() && simulation.actions.peek().atMillis() <= simulation.now) {
				simulation.actions.poll().run().run();
			}
			simulation.gateways.forEach(Gateway::step);
			simulation.now += STEP_MILLIS;
		}
		return simulation;
	}

	private void schedule(long delay, Runnable run) {
		this.actions.add(new Action(this.now + delay, this.order++, run));
	}

	private void disrupt() {
		Gateway chosen = this.gateways.get(this.random.nextInt(this.gateways.size()));
		long duration = 500 + this.random.nextInt(5000);
		switch (this.scenario.disruption()) {
			case RESTART -> chosen.restart();
			case FREEZE -> {
				chosen.frozenUntil = this.now + duration;
			}
			case CUT -> {
				chosen.cut = true;
				schedule(duration, chosen::heal);
			}
			case HALF_CUT -> {
				// one issuer is on each side at least
				boolean alternating = this.scenario.coldAllowance() > 0;
				List<Gateway> side = alternating
						? this.gateways.stream().filter((gateway) -> gateway.index % 2 == 1).toList()
						: this.gateways.subList(0, Math.max(1, this.gateways.size() / 2));
				for (Gateway gateway : side) {
					gateway.side = 1;
				}
				schedule(duration, () -> side.forEach((gateway) -> {
					gateway.side = 0;
					gateway.exchangeAll();
				}));
			}
			default -> throw new IllegalStateException("no disruption");
		}
		this.gateways.forEach((gateway) -> {
			if (gateway == chosen || gateway.side != 0) {
				gateway.excusedUntil = this.now + duration + CONTACT_MILLIS;
			}
		});
		schedule(duration + 1000, this::disrupt);
	}

	private boolean canTalk(Gateway first, Gateway second) {
		return first.side == second.side && !first.cut && !second.cut;
	}

	/**
	 * Returns the largest excess over what the rule of the platform allows.
	 * @return the number of requests in a window beyond the allowed, 0 or less if the
	 * rule was kept
	 */
	int excess() {
		int excess = Integer.MIN_VALUE;
		for (Runner runner : this.runners) {
			for (Arrival end : runner.arrivals) {
				if (end.atMillis() < LIMIT_FROM_MILLIS + CONTACT_MILLIS || end.atMillis() > limitEndMillis()) {
					continue;
				}
				long count = runner.arrivals.stream()
					.filter((arrival) -> arrival.atMillis() > end.atMillis() - WINDOW_MILLIS
							&& arrival.atMillis() <= end.atMillis() && arrival.counted() && arrival.told())
					.count();
				double allowed = 1.5 * this.scenario.limitPerSecond() * WINDOW_MILLIS / 1000 + 5;
				excess = Math.max(excess, (int) Math.ceil(count - allowed));
			}
		}
		return excess;
	}

	/**
	 * Returns the largest number of requests that were sent to a runner and arrived there
	 * within one second, without regard to disruptions.
	 * @return the number
	 */
	int maxInOneSecond() {
		int max = 0;
		for (Runner runner : this.runners) {
			for (Arrival first : runner.arrivals) {
				max = Math.max(max,
						(int) runner.arrivals.stream()
							.filter((arrival) -> arrival.sentAtMillis() >= first.sentAtMillis()
									&& arrival.atMillis() < first.sentAtMillis() + SECOND_MILLIS)
							.count());
			}
		}
		return max;
	}

	/**
	 * Returns the part of the time from {@link #COLD_FROM_MILLIS} on for which a gateway
	 * served calls on average.
	 * @return the part of the time, less than 1 if gateways stood still or started late
	 */
	double inUse() {
		return this.stepsInUse * (double) STEP_MILLIS / (this.scenario.endMillis() - COLD_FROM_MILLIS)
				/ this.gateways.size();
	}

	private long limitEndMillis() {
		return this.scenario.endMillis() - this.scenario.unlimitedAtEndMillis();
	}

	/**
	 * Returns the requests that a runner got between two times.
	 * @param from the start, in milliseconds
	 * @param to the end, in milliseconds
	 * @return the mean over all runners
	 */
	double arrived(long from, long to) {
		return this.runners.stream()
			.mapToLong((runner) -> runner.arrivals.stream()
				.filter((arrival) -> arrival.atMillis() >= from && arrival.atMillis() < to)
				.count())
			.average()
			.orElseThrow();
	}

	/**
	 * Returns the largest number of requests that a runner got in any window of a length.
	 * @param from the start of the first window, in milliseconds
	 * @param length the length of a window, in milliseconds
	 * @return the number
	 */
	long maxArrived(long from, long length) {
		long max = 0;
		for (Runner runner : this.runners) {
			for (Arrival start : runner.arrivals) {
				if (start.atMillis() >= from && start.atMillis() + length <= limitEndMillis()) {
					max = Math.max(max,
							runner.arrivals.stream()
								.filter((arrival) -> arrival.atMillis() >= start.atMillis()
										&& arrival.atMillis() < start.atMillis() + length)
								.count());
				}
			}
		}
		return max;
	}

	/**
	 * What happens to gateways during a run, again and again.
	 */
	enum Disruption {

		/** Nothing. */
		NONE,

		/** A gateway ends and starts again without any memory. */
		RESTART,

		/** A gateway stands still for a while. */
		FREEZE,

		/** A gateway cannot reach any other. */
		CUT,

		/** One half of the gateways cannot reach the other. */
		HALF_CUT

	}

	/**
	 * The conditions of a run.
	 *
	 * @param gateways the number of gateways
	 * @param runners the number of runners, which all state the limit
	 * @param limitPerSecond the limit of each
	 * @param callsPerSecond the calls that all gateways together receive
	 * @param disruption what happens to gateways
	 * @param unlimitedAtEndMillis how long before the end the runners stop stating it
	 * @param endMillis the length of the run
	 * @param coldAllowance the requests that a runner, which stays cold, may get in any
	 * second from all gateways; 0 if runners have no cold starts
	 */
	record Scenario(int gateways, int runners, double limitPerSecond, double callsPerSecond, Disruption disruption,
			long unlimitedAtEndMillis, long endMillis, double coldAllowance) {

		Scenario(int gateways, int runners, double limitPerSecond, double callsPerSecond, Disruption disruption,
				long unlimitedAtEndMillis, long endMillis) {
			this(gateways, runners, limitPerSecond, callsPerSecond, disruption, unlimitedAtEndMillis, endMillis, 0);
		}

	}

	private record Action(long atMillis, long order, Runnable run) implements Comparable<Action> {

		@Override
		public int compareTo(Action other) {
			return (this.atMillis != other.atMillis) ? Long.compare(this.atMillis, other.atMillis)
					: Long.compare(this.order, other.order);
		}

	}

	/**
	 * A request that has arrived at a runner.
	 *
	 * @param atMillis when it arrived
	 * @param told whether its gateway had passed on a statement of the limit before
	 * @param counted whether its gateway was not disrupted
	 * @param sentAtMillis when it was sent
	 */
	private record Arrival(long atMillis, boolean told, boolean counted, long sentAtMillis) {

	}

	private final class Runner {

		private final RunnerStart start;

		private final List<Arrival> arrivals = new ArrayList<>();

		private Runner(int index) {
			this.start = new RunnerStart(new RunnerId("runner-" + index), 1);
		}

		private void receive(Gateway gateway, long sentAt) {
			long now = LimitSimulation.this.now;
			this.arrivals
				.add(new Arrival(now, gateway.toldAt <= now - TOLD_MILLIS, now > gateway.excusedUntil, sentAt));
			schedule(30 + LimitSimulation.this.random.nextInt(400), () -> {
				boolean limiting = LimitSimulation.this.now >= LIMIT_FROM_MILLIS
						&& LimitSimulation.this.now < limitEndMillis();
				double stated = limiting ? LimitSimulation.this.scenario.limitPerSecond() : LimitStatement.NO_LIMIT;
				schedule(3 + LimitSimulation.this.random.nextInt(8), () -> gateway.receive(this, stated, sentAt));
			});
		}

	}

	private final class Gateway {

		private final InstanceId id;

		private final int index;

		private final Map<Gateway, Long> lastDelivery = new HashMap<>();

		private RunnerLimits limits;

		private KnownGateways known;

		private Map<Runner, ColdRunner> cold;

		private long frozenUntil;

		private long excusedUntil = Long.MIN_VALUE;

		private long toldAt = Long.MAX_VALUE;

		private long startedAt;

		private boolean cut;

		private int side;

		private Gateway(int index) {
			this.index = index;
			this.id = new InstanceId("gateway-" + index);
			start();
		}

		private void start() {
			this.limits = new RunnerLimits(this.id, (this.index < ISSUERS) ? this.index : -1, ISSUERS);
			this.startedAt = LimitSimulation.this.now;
			this.known = new KnownGateways(this.id, ISSUERS, this.index < ISSUERS, this.startedAt);
			this.cold = new HashMap<>();
		}

		/*
		 * All gateways but one start within a second, as after a loss of power, and the
		 * last joins while the others serve.
		 */
		private void startLate() {
			long delay = (this.index == LimitSimulation.this.gateways.size() - 1)
					? 6000 + LimitSimulation.this.random.nextInt(6000) : LimitSimulation.this.random.nextInt(1000);
			this.cut = true;
			this.frozenUntil = delay;
			schedule(delay, () -> {
				start();
				heal();
			});
		}

		private ColdRunner cold(Runner runner) {
			return this.cold.computeIfAbsent(runner, (key) -> {
				ColdRunner created = new ColdRunner(this.known, key.start);
				created.update(Optional.of(LimitSimulation.this.scenario.coldAllowance()).filter((max) -> max > 0),
						true);
				return created;
			});
		}

		private void restart() {
			start();
			exchangeAll();
		}

		private void heal() {
			this.cut = false;
			exchangeAll();
		}

		private void exchangeAll() {
			LimitSimulation.this.gateways.stream().filter(this::isConnectedTo).forEach((other) -> {
				this.limits.snapshot(LimitSimulation.this.now).forEach((report) -> send(other, report));
				other.limits.snapshot(LimitSimulation.this.now).forEach((report) -> other.send(this, report));
				meet(other);
			});
		}

		private void meet(Gateway other) {
			if (LimitSimulation.this.scenario.coldAllowance() > 0) {
				broadcastIf(this.known.add(List.of(other.id)));
				other.broadcastIf(other.known.add(List.of(this.id)));
				sendKnown(other);
				other.sendKnown(this);
			}
		}

		private void broadcastIf(boolean changed) {
			if (changed) {
				LimitSimulation.this.gateways.stream().filter(this::isConnectedTo).forEach(this::sendKnown);
			}
		}

		private void sendKnown(Gateway other) {
			if (LimitSimulation.this.random.nextDouble() >= LOSS) {
				send(other, this.known.names());
				return;
			}
			schedule(RECONNECT_MILLIS, () -> {
				if (isConnectedTo(other)) {
					meet(other);
				}
			});
		}

		private boolean isConnectedTo(Gateway other) {
			return other != this && (this.index < ISSUERS || other.index < ISSUERS) && canTalk(this, other);
		}

		private Collection<InstanceId> reachable() {
			return LimitSimulation.this.gateways.stream()
				.filter((other) -> other.index < ISSUERS && isConnectedTo(other))
				.map((other) -> other.id)
				.toList();
		}

		private void step() {
			if (LimitSimulation.this.now < this.frozenUntil) {
				return;
			}
			if (LimitSimulation.this.now % RECONNECT_MILLIS == 0 && !this.known.isSettled(LimitSimulation.this.now)) {
				LimitSimulation.this.gateways.stream()
					.filter((other) -> other.index < ISSUERS && isConnectedTo(other))
					.forEach(this::meet);
			}
			LimitSimulation.this.stepsInUse += (LimitSimulation.this.now >= COLD_FROM_MILLIS) ? 1 : 0;
			double perStep = LimitSimulation.this.scenario.callsPerSecond() / LimitSimulation.this.gateways.size()
					* STEP_MILLIS / 1000;
			while (LimitSimulation.this.random.nextDouble() < perStep) {
				perStep -= 1;
				call();
			}
			this.limits.update(LimitSimulation.this.now);
			flush();
		}

		private void call() {
			LimitSimulation.this.calls++;
			trySend(MAX_TRIES);
		}

		private void trySend(int tries) {
			if (!trySend() && tries > 1) {
				flush();
				schedule(RETRY_MILLIS, () -> trySend(tries - 1));
			}
		}

		private boolean trySend() {
			long now = LimitSimulation.this.now;
			if (now < this.frozenUntil) {
				return false;
			}
			this.limits.updateConnected(reachable(),
					1 + (int) LimitSimulation.this.gateways.stream().filter(this::isConnectedTo).count());
			for (Runner runner : LimitSimulation.this.runners) {
				if (!this.limits.canSend(runner.start, now)) {
					this.limits.addDemand(runner.start, now);
				}
			}
			List<Runner> available = LimitSimulation.this.runners.stream()
				.filter((runner) -> this.limits.canSend(runner.start, now) && cold(runner).hasRoom(now))
				.toList();
			if (available.isEmpty()) {
				return false;
			}
			Runner chosen = available.get(LimitSimulation.this.random.nextInt(available.size()));
			if (this.limits.isLimited(chosen.start)) {
				this.limits.take(chosen.start, now);
			}
			ColdRunner.Reservation room = cold(chosen).reserve(now).orElseThrow();
			if (LimitSimulation.this.scenario.coldAllowance() == 0) {
				write(chosen, room, now);
			}
			else {
				schedule(LimitSimulation.this.random.nextInt(30), () -> write(chosen, room, now));
			}
			return true;
		}

		private void write(Runner runner, ColdRunner.Reservation room, long chosenAt) {
			long now = LimitSimulation.this.now;
			if (now < this.frozenUntil) {
				schedule(this.frozenUntil - now, () -> write(runner, room, chosenAt));
			}
			else if (chosenAt >= this.startedAt && room.use(now)) {
				schedule(3 + LimitSimulation.this.random.nextInt(8), () -> runner.receive(this, now));
			}
		}

		private void receive(Runner runner, double stated, long sentAt) {
			long now = LimitSimulation.this.now;
			if (sentAt < this.startedAt) {
				return;
			}
			if (now < this.frozenUntil) {
				schedule(this.frozenUntil - now, () -> receive(runner, stated, sentAt));
				return;
			}
			if (stated < LimitStatement.NO_LIMIT) {
				this.toldAt = Math.min(this.toldAt, now);
			}
			this.limits.record(runner.start, new LimitStatement(stated, sentAt, now), "r", now);
			flush();
		}

		private void flush() {
			for (PermitEffect effect : this.limits.takeEffects()) {
				if (effect instanceof PermitEffect.ReportLimit report) {
					LimitSimulation.this.gateways.stream()
						.filter(this::isConnectedTo)
						.forEach((other) -> send(other, report.report()));
				}
				else if (effect instanceof PermitEffect.RequestPermits request) {
					send(request.issuer(), effect);
				}
				else if (effect instanceof PermitEffect.GrantPermits grant) {
					send(grant.gateway(), effect);
				}
				else if (effect instanceof PermitEffect.ReturnPermits back) {
					send(back.issuer(), effect);
				}
			}
		}

		private void send(InstanceId to, PermitEffect effect) {
			LimitSimulation.this.gateways.stream()
				.filter((other) -> other.id.equals(to))
				.forEach((other) -> send(other, (Object) effect));
		}

		private void send(Gateway to, Object message) {
			long at = Math.max(LimitSimulation.this.now + 2 + LimitSimulation.this.random.nextInt(20),
					this.lastDelivery.getOrDefault(to, 0L));
			this.lastDelivery.put(to, at);
			schedule(at - LimitSimulation.this.now, () -> to.deliver(this, message));
		}

		private void deliver(Gateway from, Object message) {
			long now = LimitSimulation.this.now;
			if (!canTalk(this, from)) {
				return;
			}
			if (now < this.frozenUntil) {
				schedule(this.frozenUntil - now, () -> deliver(from, message));
				return;
			}
			if (message instanceof LimitReport report) {
				this.limits.merge(report, from.id, now);
			}
			else if (message instanceof PermitEffect.RequestPermits request) {
				this.limits.receive(from.id, request, now);
			}
			else if (message instanceof PermitEffect.GrantPermits grant) {
				this.limits.receive(from.id, grant, now);
			}
			else if (message instanceof PermitEffect.ReturnPermits back) {
				this.limits.receive(back);
			}
			else if (message instanceof Set<?> names) {
				List<InstanceId> ids = names.stream().map(InstanceId.class::cast).toList();
				broadcastIf((from.index < ISSUERS) ? this.known.addFromSeed(from.id, ids, now) : this.known.add(ids));
			}
			flush();
		}

	}

}
