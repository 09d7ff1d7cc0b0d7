package org.catkingate.decisions.permits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.catkingate.model.InstanceId;
import org.catkingate.model.permits.LimitReport;
import org.catkingate.model.prompts.RunnerStart;

/**
 * The limits that runners have stated for the requests of all gateways together, as one
 * gateway knows them, and its permits. A request to such a runner takes a permit, which
 * one of a few fixed gateways, the issuers, has granted. A gateway that reaches no issuer
 * sends very few requests. The memory is bounded. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class RunnerLimits {

	/** The time after which a granted permit is not used any more, since its request. */
	private static final long MAX_GRANT_AGE_MILLIS = 2 * PermitIssuer.REQUEST_VALID_MILLIS;

	private static final long MAX_AGE_MILLIS = 86_400_000;

	private static final int MAX_RUNNERS = 2000;

	/** The part of a limit that gateways use together which reach no issuer. */
	private static final double UNCONNECTED_SHARE = 0.5;

	private final Map<RunnerStart, LimitStatement> statements = boundedMap();

	private final Map<RunnerStart, PermitStock> stocks = boundedMap();

	private final List<PermitEffect> effects = new ArrayList<>();

	private final List<LimitChange> changes = new ArrayList<>();

	private final PermitIssuer unconnected = new PermitIssuer(0, 1);

	private final InstanceId self;

	private final int issuers;

	private final PermitIssuer issuer;

	private final boolean isIssuer;

	private List<InstanceId> reachable = List.of();

	/** The number of connected gateways, including this one. */
	private int knownGateways = 1;

	/** The highest number of gateways that an issuer has named, 0 for none. */
	private int namedGateways;

	private int limitedRunners;

	/**
	 * Creates an instance that knows no limit.
	 * @param self the identifier of this gateway
	 * @param rank the position of this gateway among the issuers, from 0; negative if it
	 * is none
	 * @param issuers the number of issuers
	 */
	public RunnerLimits(InstanceId self, int rank, int issuers) {
		this.self = Objects.requireNonNull(self, "self must not be null");
		this.issuers = Math.max(1, issuers);
		this.isIssuer = rank >= 0;
		this.issuer = new PermitIssuer(Math.max(0, rank), this.issuers);
	}

	private static <T> Map<RunnerStart, T> boundedMap() {
		return new LinkedHashMap<>() {

			@Override
			protected boolean removeEldestEntry(Map.Entry<RunnerStart, T> eldest) {
				return size() > MAX_RUNNERS;
			}

		};
	}

	/**
	 * Records what a response states. A response without a limit ends an earlier one.
	 * @param runner the runner
	 * @param statement the statement
	 * @param requestId the identifier of the request
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void record(RunnerStart runner, LimitStatement statement, String requestId, long nowMillis) {
		if (statement.isLimit() || isLimited(runner)) {
			merge(runner, statement, requestId, nowMillis);
		}
	}

	/**
	 * Merges a report of another gateway.
	 * @param report the report
	 * @param from the other gateway
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void merge(LimitReport report, InstanceId from, long nowMillis) {
		merge(report.runner(),
				new LimitStatement(report.requestsPerSecond(),
						nowMillis - Math.min(MAX_AGE_MILLIS, report.requestedAgeMillis()),
						nowMillis - Math.min(MAX_AGE_MILLIS, report.receivedAgeMillis())),
				from.value(), nowMillis);
	}

	private void merge(RunnerStart runner, LimitStatement statement, String source, long nowMillis) {
		LimitStatement previous = this.statements.get(runner);
		LimitStatement merged = (previous != null) ? previous.merge(statement) : statement;
		this.statements.put(runner, merged);
		double before = (previous != null) ? previous.requestsPerSecond() : LimitStatement.NO_LIMIT;
		if (merged.requestsPerSecond() != before) {
			this.limitedRunners = (int) this.statements.values().stream().filter(LimitStatement::isLimit).count();
			if (!merged.isLimit()) {
				this.stocks.remove(runner);
			}
			this.changes.add(new LimitChange(runner, before, merged, source));
			this.effects.add(new PermitEffect.ReportLimit(report(runner, merged, nowMillis)));
		}
	}

	private static LimitReport report(RunnerStart runner, LimitStatement statement, long nowMillis) {
		long receivedAge = Math.max(0, nowMillis - statement.receivedAtMillis());
		return new LimitReport(runner, statement.requestsPerSecond(),
				Math.max(receivedAge, nowMillis - statement.requestedAtMillis()), receivedAge);
	}

	/**
	 * Returns everything that is known, for a gateway that has just connected.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the reports, possibly empty
	 */
	public List<LimitReport> snapshot(long nowMillis) {
		return this.statements.entrySet()
			.stream()
			.map((entry) -> report(entry.getKey(), entry.getValue(), nowMillis))
			.toList();
	}

	/**
	 * Returns the limit of a runner.
	 * @param runner the runner
	 * @return the requests a second that it takes from all gateways together,
	 * {@link LimitStatement#NO_LIMIT} for no limit
	 */
	public double limitPerSecond(RunnerStart runner) {
		if (this.limitedRunners == 0) {
			return LimitStatement.NO_LIMIT;
		}
		LimitStatement statement = this.statements.get(runner);
		return (statement != null) ? statement.requestsPerSecond() : LimitStatement.NO_LIMIT;
	}

	/**
	 * Returns the part of a runner's limit for which this gateway issues permits.
	 * @param runner the runner
	 * @return the requests a second, 0 if this gateway is no issuer
	 */
	public double issuedPerSecond(RunnerStart runner) {
		return this.isIssuer ? limitPerSecond(runner) / this.issuers : 0;
	}

	/*
	 * A gateway that requests permits knows of a limit. Until this one has heard of it,
	 * as after a start, it grants next to nothing.
	 */
	private double limitToIssue(RunnerStart runner) {
		LimitStatement statement = this.statements.get(runner);
		return (statement != null) ? statement.requestsPerSecond() : 0;
	}

	/**
	 * Returns whether requests to a runner take permits.
	 * @param runner the runner
	 * @return whether it has stated a limit
	 */
	public boolean isLimited(RunnerStart runner) {
		return limitPerSecond(runner) < LimitStatement.NO_LIMIT;
	}

	/**
	 * Returns whether a request may be sent to a runner now.
	 * @param runner the runner
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether it has no limit or there is a permit
	 */
	public boolean canSend(RunnerStart runner, long nowMillis) {
		return !isLimited(runner) || stock(runner).available(nowMillis) > 0;
	}

	/**
	 * Takes a permit.
	 * @param runner the runner
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return gives the permit back if it is not used; empty if there is no permit
	 */
	public Optional<Runnable> take(RunnerStart runner, long nowMillis) {
		return stock(runner).take(nowMillis).map((permit) -> () -> returnPermits(permit.issuer(), runner, 1));
	}

	private void returnPermits(InstanceId issuerOfThem, RunnerStart runner, int count) {
		PermitEffect.ReturnPermits back = new PermitEffect.ReturnPermits(issuerOfThem, runner, count);
		if (issuerOfThem.equals(this.self)) {
			receive(back);
		}
		else {
			this.effects.add(back);
		}
	}

	private PermitStock stock(RunnerStart runner) {
		return this.stocks.computeIfAbsent(runner, (key) -> new PermitStock());
	}

	/**
	 * Records which gateways are connected.
	 * @param issuers the issuers among them
	 * @param gateways the number of known gateways, including this one
	 */
	public void updateConnected(Collection<InstanceId> issuers, int gateways) {
		this.reachable = issuers.stream().filter((other) -> !other.equals(this.self)).distinct().toList();
		this.knownGateways = gateways;
	}

	/**
	 * Records that a call could be sent to a limited runner, and requests permits.
	 * @param runner the runner
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void addDemand(RunnerStart runner, long nowMillis) {
		PermitStock stock = stock(runner);
		stock.addDemand(nowMillis);
		int missing = stock.missing(nowMillis);
		if (missing == 0) {
			return;
		}
		if (this.isIssuer && stock.startRequest(this.self, nowMillis)) {
			receive(this.self, new PermitEffect.RequestPermits(this.self, runner, missing, nowMillis), nowMillis);
		}
		else if (!this.isIssuer && this.reachable.isEmpty()) {
			issueUnconnected(runner, missing, nowMillis);
		}
		this.reachable.stream()
			.filter((other) -> stock.startRequest(other, nowMillis))
			.forEach((other) -> this.effects.add(new PermitEffect.RequestPermits(other, runner, missing, nowMillis)));
	}

	/*
	 * The number of gateways that an issuer has named is never reduced, since a gateway
	 * that is cut off does not learn which of the others have ended. Without one nothing
	 * is sent.
	 */
	private void issueUnconnected(RunnerStart runner, int missing, long nowMillis) {
		if (this.namedGateways == 0) {
			return;
		}
		double share = UNCONNECTED_SHARE / this.namedGateways;
		this.unconnected.add(this.self, new PermitEffect.RequestPermits(this.self, runner, missing, nowMillis),
				this::limitPerSecond, share, nowMillis);
		this.unconnected.issue(this::limitPerSecond, share, this.namedGateways, nowMillis)
			.forEach((grant) -> receive(this.self, grant, nowMillis));
	}

	/**
	 * Receives a request for permits.
	 * @param from the gateway that requests them
	 * @param request the request
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void receive(InstanceId from, PermitEffect.RequestPermits request, long nowMillis) {
		this.issuer.add(from, request, this::limitToIssue, 1.0 / this.issuers, nowMillis);
		issue(nowMillis);
	}

	/**
	 * Returns expired permits, and issues those that have become available since the last
	 * call.
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void update(long nowMillis) {
		this.stocks.forEach((runner, stock) -> stock.removeExpired(nowMillis)
			.forEach((issuerOfThem, count) -> returnPermits(issuerOfThem, runner, count)));
		issue(nowMillis);
	}

	private void issue(long nowMillis) {
		for (PermitEffect.GrantPermits grant : this.issuer.issue(this::limitToIssue, 1.0 / this.issuers,
				this.knownGateways, nowMillis)) {
			if (grant.gateway().equals(this.self)) {
				receive(this.self, grant, nowMillis);
			}
			else {
				this.effects.add(grant);
			}
		}
	}

	/**
	 * Returns whether gateways wait for permits, or permits may expire.
	 * @return whether {@link #update} must be called again soon
	 */
	public boolean isUpdateDue() {
		return this.issuer.hasWaiting() || this.stocks.values().stream().anyMatch((stock) -> !stock.isEmpty());
	}

	/**
	 * Receives granted permits. Those that are not needed any more are returned.
	 * @param from the issuer
	 * @param grant the permits
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void receive(InstanceId from, PermitEffect.GrantPermits grant, long nowMillis) {
		PermitStock stock = stock(grant.runner());
		stock.endRequest(from);
		this.namedGateways = Math.max(this.namedGateways, grant.gateways());
		boolean late = nowMillis - grant.requestSentAtMillis() > MAX_GRANT_AGE_MILLIS;
		int used = late ? 0 : Math.min(grant.count(), stock.missing(nowMillis));
		stock.add(from, used, nowMillis);
		int unused = grant.count() - used;
		if (unused > 0) {
			returnPermits(from, grant.runner(), unused);
		}
	}

	/**
	 * Receives permits that a gateway returns.
	 * @param back the permits
	 */
	public void receive(PermitEffect.ReturnPermits back) {
		this.issuer.takeBack(back.runner(), back.count());
	}

	/**
	 * Returns the messages to send since the last call.
	 * @return the messages, possibly empty
	 */
	public List<PermitEffect> takeEffects() {
		List<PermitEffect> taken = List.copyOf(this.effects);
		this.effects.clear();
		return taken;
	}

	/**
	 * Returns the changes of limits since the last call.
	 * @return the changes to log, possibly empty
	 */
	public List<LimitChange> takeChanges() {
		List<LimitChange> taken = List.copyOf(this.changes);
		this.changes.clear();
		return taken;
	}

	/**
	 * Returns the limits in force.
	 * @return the requests a second of each runner that has stated a limit
	 */
	public Map<RunnerStart, Double> limits() {
		Map<RunnerStart, Double> limits = new LinkedHashMap<>();
		this.statements.forEach((runner, statement) -> {
			if (statement.isLimit()) {
				limits.put(runner, statement.requestsPerSecond());
			}
		});
		return limits;
	}

}
