package org.catkingate.decisions.permits;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.decisions.limits.TokenBucket;
import org.catkingate.model.InstanceId;
import org.catkingate.model.prompts.RunnerStart;

/**
 * An issuer of permits to send requests to runners that have stated a limit. It issues a
 * fixed share of each limit, so that the issuers together never exceed it, whatever they
 * know of each other. Gateways that wait are served in turns. The memory is bounded. Not
 * safe for use by several threads.
 */
final class PermitIssuer {

	/** The time for which a request for permits is valid. */
	static final long REQUEST_VALID_MILLIS = 1000;

	/**
	 * The requests a second that are sent in any case, since only a response shows that a
	 * lower limit has ended.
	 */
	private static final double MIN_REQUESTS_PER_SECOND = 0.05;

	/** The limit above which permits are issued as if it were this one. */
	private static final double MAX_REQUESTS_PER_SECOND = 1_000_000;

	/** The time whose permits may be issued at once after a pause. */
	private static final double BURST_SECONDS = 0.25;

	private static final int MAX_RUNNERS = 1000;

	private final Map<RunnerStart, Account> accounts = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<RunnerStart, Account> eldest) {
			return size() > MAX_RUNNERS;
		}

	};

	private final int rank;

	private final int issuers;

	/**
	 * Creates an issuer without any requests.
	 * @param rank the position of this issuer among all, from 0
	 * @param issuers the number of issuers
	 */
	PermitIssuer(int rank, int issuers) {
		this.rank = rank;
		this.issuers = issuers;
	}

	/**
	 * Adds a request, which replaces an earlier one of the same gateway and keeps its
	 * turn.
	 * @param gateway the gateway
	 * @param request the runner and the number of permits
	 * @param limits returns the limit of a runner, in requests a second
	 * @param share the share of a limit that is issued here
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void add(InstanceId gateway, PermitEffect.RequestPermits request, ToDoubleFunction<RunnerStart> limits,
			double share, long nowMillis) {
		Account account = this.accounts.computeIfAbsent(request.runner(),
				(runner) -> new Account(new TokenBucket(idlePermits(runner) % 1, nowMillis)));
		account.refill(request.runner(), rate(limits.applyAsDouble(request.runner()), share), nowMillis);
		account.waiting.put(gateway, new Waiting(request, nowMillis));
	}

	/**
	 * Issues the permits that are available now.
	 * @param limits returns the limit of a runner, in requests a second
	 * @param share the share of a limit that is issued here
	 * @param gateways the number of known gateways
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the grants to send
	 */
	List<PermitEffect.GrantPermits> issue(ToDoubleFunction<RunnerStart> limits, double share, int gateways,
			long nowMillis) {
		List<PermitEffect.GrantPermits> grants = new ArrayList<>();
		this.accounts.forEach((runner, account) -> {
			if (!account.waiting.isEmpty()) {
				account.refill(runner, rate(limits.applyAsDouble(runner), share), nowMillis);
				account.issue(runner, grants, gateways, nowMillis);
			}
		});
		return grants;
	}

	/**
	 * Takes back permits that were not used.
	 * @param runner the runner
	 * @param count the number of permits
	 */
	void takeBack(RunnerStart runner, int count) {
		Account account = this.accounts.get(runner);
		if (account != null) {
			account.bucket = account.bucket.minus(-Math.min(count, account.returnable));
			account.returnable -= Math.min(count, account.returnable);
		}
	}

	private static double rate(double limitPerSecond, double share) {
		return Math.max(MIN_REQUESTS_PER_SECOND, Math.min(MAX_REQUESTS_PER_SECOND, limitPerSecond)) * share;
	}

	boolean hasWaiting() {
		return this.accounts.values().stream().anyMatch((account) -> !account.waiting.isEmpty());
	}

	/*
	 * The permits that are kept while no gateway waits. One issuer keeps a whole one, the
	 * others fractions, so that a pause is not followed by one request for each issuer.
	 */
	private double idlePermits(RunnerStart runner) {
		int turn = (int) Math.floorMod(this.rank + RendezvousHashing.hash(runner.toString()), (long) this.issuers);
		return (turn == 0) ? 1 : (double) turn / this.issuers;
	}

	/**
	 * The permits for one runner and the gateways that wait for them.
	 */
	private final class Account {

		private final Map<InstanceId, Waiting> waiting = new LinkedHashMap<>();

		private TokenBucket bucket;

		/** The permits that were granted and may be returned. */
		private int returnable;

		private Account(TokenBucket bucket) {
			this.bucket = bucket;
		}

		private void refill(RunnerStart runner, double rate, long nowMillis) {
			double burst = Math.max(1, rate * BURST_SECONDS);
			double capacity = this.waiting.isEmpty() ? burst * idlePermits(runner) : burst;
			// what was kept while gateways waited is not lost
			this.bucket = this.bucket.refilled(rate, Math.min(burst, Math.max(capacity, this.bucket.balance())),
					nowMillis);
		}

		private void issue(RunnerStart runner, List<PermitEffect.GrantPermits> grants, int gateways, long nowMillis) {
			this.waiting.values().removeIf((request) -> nowMillis - request.atMillis() > REQUEST_VALID_MILLIS);
			Iterator<Map.Entry<InstanceId, Waiting>> turns = this.waiting.entrySet().iterator();
			while (turns.hasNext() && this.bucket.balance() >= 1) {
				Map.Entry<InstanceId, Waiting> turn = turns.next();
				PermitEffect.RequestPermits request = turn.getValue().request();
				int count = (int) Math.min(request.count(), this.bucket.balance());
				this.bucket = this.bucket.minus(count);
				this.returnable += count;
				grants
					.add(new PermitEffect.GrantPermits(turn.getKey(), runner, count, request.sentAtMillis(), gateways));
				turns.remove();
			}
		}

	}

	/**
	 * A gateway that waits for permits.
	 *
	 * @param request its request
	 * @param atMillis when it arrived, in monotonic milliseconds
	 */
	private record Waiting(PermitEffect.RequestPermits request, long atMillis) {

	}

}
