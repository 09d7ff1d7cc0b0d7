package org.catkingate.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioExecutor;

import org.catkingate.decisions.permits.LimitChange;
import org.catkingate.decisions.permits.LimitStatement;
import org.catkingate.decisions.permits.PermitEffect;
import org.catkingate.decisions.permits.RunnerLimits;
import org.catkingate.decisions.retries.SlidingWindowCounter;
import org.catkingate.model.InstanceId;
import org.catkingate.model.permits.LimitReport;
import org.catkingate.model.prompts.RunnerStart;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.calls.RunnerResponseHead;
import org.catkingate.wire.LimitMessage;

/**
 * Carries out what {@link RunnerLimits} decides: sends its messages to other gateways,
 * calls it again when permits become available, and logs changed limits. Used by the
 * traffic thread only, except for {@link #describe()}.
 */
final class RunnerPermits {

	/** The interval at which permits are issued while gateways wait for them. */
	private static final long UPDATE_INTERVAL_MILLIS = 20;

	private static final long LOG_WINDOW_MILLIS = 10_000;

	private static final int MAX_LOG_LINES = 50;

	private final SlidingWindowCounter logLines = SlidingWindowCounter.create(LOG_WINDOW_MILLIS);

	private final RunnerLimits limits;

	private final RunnerIntakeLog log;

	private final MonotonicClock clock;

	private XnioExecutor executor;

	private Peers peers;

	private Runnable permitListener = () -> {
	};

	private boolean updating;

	private volatile Map<String, String> described = Map.of();

	/**
	 * Creates an instance that is not connected to other gateways.
	 * @param limits decides
	 * @param log logs changes of limits
	 * @param clock the clock
	 */
	RunnerPermits(RunnerLimits limits, RunnerIntakeLog log, MonotonicClock clock) {
		this.limits = limits;
		this.log = log;
		this.clock = clock;
	}

	/**
	 * Connects this instance to the other gateways.
	 * @param thread the traffic thread
	 * @param others the other gateways
	 */
	void connect(XnioExecutor thread, Peers others) {
		this.executor = thread;
		this.peers = others;
	}

	/**
	 * Sets the listener to permits that have arrived.
	 * @param listener is called on the traffic thread, never during a call to this object
	 */
	void onPermit(Runnable listener) {
		this.permitListener = listener;
	}

	boolean isLimited(RunnerStart runner) {
		return this.limits.isLimited(runner);
	}

	double limitPerSecond(RunnerStart runner) {
		return this.limits.limitPerSecond(runner);
	}

	boolean canSend(RunnerStart runner, long nowMillis) {
		return this.limits.canSend(runner, nowMillis);
	}

	/**
	 * Returns whether a call could be sent, and requests a permit if there is none.
	 * @param runner the runner
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether the runner has stated no limit or there is a permit
	 */
	boolean request(RunnerStart runner, long nowMillis) {
		if (this.limits.canSend(runner, nowMillis)) {
			return true;
		}
		if (this.peers != null) {
			this.limits.updateConnected(this.peers.issuers(), this.peers.gatewayCount());
		}
		this.limits.addDemand(runner, nowMillis);
		execute();
		return this.limits.canSend(runner, nowMillis);
	}

	Optional<Runnable> take(RunnerStart runner, long nowMillis) {
		return this.limits.take(runner, nowMillis).map((giveBack) -> () -> {
			giveBack.run();
			execute();
		});
	}

	/**
	 * Records what a response states.
	 * @param runner the runner
	 * @param response the head of the response
	 * @param sentAtMillis when the request was sent, in monotonic milliseconds
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void record(RegisteredRunner runner, RunnerResponseHead response, long sentAtMillis, long nowMillis) {
		if (response.limit().unreadable().isPresent() && mayLog(nowMillis)) {
			this.log.recordUnreadableLimit(runner, response);
		}
		RunnerStart start = new RunnerStart(runner.id(), runner.startedAtEpochMillis());
		boolean denied = response.limit().requestsPerSecond().isEmpty() && response.limit().unreadable().isEmpty();
		if (response.limit().requestsPerSecond().isPresent() || (denied && this.limits.isLimited(start))) {
			double perSecond = response.limit().requestsPerSecond().orElse(LimitStatement.NO_LIMIT);
			this.limits.record(start, new LimitStatement(perSecond, sentAtMillis, nowMillis),
					String.valueOf(response.requestId()), nowMillis);
			execute();
		}
	}

	/**
	 * Receives a message of another gateway.
	 * @param from the other gateway
	 * @param message the message
	 */
	void receive(InstanceId from, LimitMessage message) {
		long now = this.clock.millis();
		if (message instanceof LimitMessage.LimitReports reports) {
			reports.reports().forEach((report) -> this.limits.merge(report, from, now));
		}
		else if (message instanceof LimitMessage.PermitRequest request) {
			this.limits.receive(from,
					new PermitEffect.RequestPermits(from, request.runner(), request.count(), request.sentAtMillis()),
					now);
		}
		else if (message instanceof LimitMessage.PermitGrant grant) {
			this.limits.receive(from, new PermitEffect.GrantPermits(from, grant.runner(), grant.count(),
					grant.requestSentAtMillis(), grant.gateways()), now);
			this.permitListener.run();
		}
		else if (message instanceof LimitMessage.PermitReturn back) {
			this.limits.receive(new PermitEffect.ReturnPermits(from, back.runner(), back.count()));
		}
		execute();
	}

	/**
	 * Returns everything that is known, for a gateway that has just connected.
	 * @return the reports, possibly empty
	 */
	List<LimitReport> snapshot() {
		return this.limits.snapshot(this.clock.millis());
	}

	/**
	 * Returns the limits in force, for operators. Safe for use by any thread.
	 * @return a description of the limit of each runner that has one
	 */
	Map<String, String> describe() {
		return this.described;
	}

	private void execute() {
		this.limits.takeEffects().forEach(this::execute);
		List<LimitChange> changes = this.limits.takeChanges();
		if (!changes.isEmpty()) {
			changes.forEach(this::log);
			Map<String, String> descriptions = new TreeMap<>();
			this.limits.limits()
				.forEach((runner, limit) -> descriptions.put(runner.toString(),
						limit + " a second, permits for " + this.limits.issuedPerSecond(runner) + " issued here"));
			this.described = descriptions;
		}
		if (!this.updating && this.executor != null && this.limits.isUpdateDue()) {
			this.updating = true;
			this.executor.executeAfter(this::update, UPDATE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void update() {
		this.updating = false;
		try {
			this.limits.update(this.clock.millis());
			this.permitListener.run();
		}
		finally {
			execute();
		}
	}

	private void execute(PermitEffect effect) {
		if (this.peers == null) {
			return;
		}
		if (effect instanceof PermitEffect.ReportLimit report) {
			this.peers.broadcast(new LimitMessage.LimitReports(List.of(report.report())));
		}
		else if (effect instanceof PermitEffect.RequestPermits request) {
			this.peers.send(request.issuer(),
					new LimitMessage.PermitRequest(request.runner(), request.count(), request.sentAtMillis()));
		}
		else if (effect instanceof PermitEffect.GrantPermits grant) {
			this.peers.send(grant.gateway(), new LimitMessage.PermitGrant(grant.runner(), grant.count(),
					grant.requestSentAtMillis(), grant.gateways()));
		}
		else if (effect instanceof PermitEffect.ReturnPermits back) {
			this.peers.send(back.issuer(), new LimitMessage.PermitReturn(back.runner(), back.count()));
		}
	}

	private void log(LimitChange change) {
		long now = this.clock.millis();
		if (mayLog(now)) {
			this.log.recordLimit(change, this.limits.issuedPerSecond(change.runner()),
					now - change.statement().receivedAtMillis());
		}
	}

	private boolean mayLog(long nowMillis) {
		this.logLines.add(nowMillis);
		return this.logLines.count(nowMillis) <= MAX_LOG_LINES;
	}

	/**
	 * The connections to other gateways.
	 */
	interface Peers {

		/**
		 * Returns the gateways that issue permits.
		 * @return those that are connected, except this one
		 */
		Collection<InstanceId> issuers();

		/**
		 * Counts the known gateways.
		 * @return the number, including this one
		 */
		int gatewayCount();

		/**
		 * Sends a message to one gateway, if it is connected.
		 * @param gateway the gateway
		 * @param message the message
		 */
		void send(InstanceId gateway, LimitMessage message);

		/**
		 * Sends a message to all connected gateways.
		 * @param message the message
		 */
		void broadcast(LimitMessage message);

	}

}
