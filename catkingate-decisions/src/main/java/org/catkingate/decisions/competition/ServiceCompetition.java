package org.catkingate.decisions.competition;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.catkingate.decisions.retries.SlidingWindowCounter;
import org.catkingate.decisions.sending.Urgency;
import org.catkingate.model.AccountName;

/**
 * What a process has seen of the calls to one service: the urgency levels in use, what
 * request types and client accounts have received, and the rate at which calls are sent.
 * Everything is forgotten within seconds. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class ServiceCompetition {

	/**
	 * The time for which a level counts after a call of it was seen, and for which a
	 * process that has started assumes all levels of the configuration, in milliseconds.
	 * It is longer than the 6 s that callers usually wait, so that a level stays in use
	 * while its callers retry.
	 */
	static final long LEVEL_USE_MILLIS = 10_000;

	/**
	 * The time over which shares are averaged, in milliseconds: many goals long, so that
	 * single large requests do not decide, and about as long as callers wait.
	 */
	private static final double SHARE_MILLIS = 5000;

	/**
	 * The part of the share of all from which a request type or an account is no longer
	 * raised. The required minimum is 0.25; the margin covers the delay of the average.
	 */
	private static final double MINIMUM_SHARE = 0.3;

	/** The number of recent calls below which a share says nothing. */
	private static final double MIN_CALLS = 4;

	/** The number of recent calls below which an entry is removed. */
	private static final double NEGLIGIBLE_CALLS = 0.01;

	/**
	 * The time over which the part of a level's calls that find no place is averaged, in
	 * milliseconds: several goals, so that a single burst of large requests does not
	 * decide.
	 */
	private static final double SHORTAGE_MILLIS = 2000;

	/**
	 * The part of its calls that find no place from which a level lacks places. Less
	 * urgent calls are not limited before, since nothing would be gained.
	 */
	private static final double SHORTAGE_PART = 0.1;

	/** The window of the rate at which calls are sent, in milliseconds. */
	private static final long RATE_WINDOW_MILLIS = 1000;

	/**
	 * The assumed rate of a level of which nothing has been sent recently, in calls per
	 * second. It lets a few calls wait, which show whether there is capacity.
	 */
	private static final double MIN_CALLS_PER_SECOND = 4;

	/**
	 * The time whose releases may be made up for at once, in milliseconds: the interval
	 * at which waiting calls are decided on.
	 */
	private static final double RELEASE_BURST_MILLIS = 50;

	/**
	 * The part of the rate at which runners complete requests that is used for calls that
	 * have waited for them to load. Their responses are late; the rest is left to new
	 * calls, which can be on time.
	 */
	public static final double RELEASED_PART = 0.5;

	private final Map<Urgency, Long> lastSeenMillis = new HashMap<>();

	private final Map<Urgency, SlidingWindowCounter> sent = new HashMap<>();

	private final SlidingWindowCounter sentLate = SlidingWindowCounter.create(RATE_WINDOW_MILLIS);

	private final Map<String, Share> routes = new HashMap<>();

	private final Map<AccountName, Share> accounts = new HashMap<>();

	private final Map<Urgency, Share> levels = new HashMap<>();

	private final Map<Urgency, Shortage> shortages = new HashMap<>();

	/** What each account has received in each urgency level, by cost. */
	private final Map<Urgency, Map<AccountName, DecayingSum>> costs = new HashMap<>();

	private final Share all = new Share();

	private final long startedAtMillis;

	private long prunedAtMillis;

	private double nextReleaseMillis;

	/**
	 * Creates an object that has not seen any calls.
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public ServiceCompetition(long nowMillis) {
		this.startedAtMillis = nowMillis;
		this.prunedAtMillis = nowMillis;
		this.nextReleaseMillis = nowMillis;
	}

	/**
	 * Returns whether a call that has waited for runners to load may be sent now. When
	 * the runners begin to serve, all gateways see them idle and have many such calls.
	 * They send them at a part of the rate at which the runners together complete
	 * requests: what is sent faster takes the slots from calls that can be on time.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether it may be sent
	 */
	public boolean canRelease(long nowMillis) {
		return nowMillis >= this.nextReleaseMillis;
	}

	/**
	 * Records that a call that has waited for runners to load is sent.
	 * @param intervalMillis the mean interval between two requests that a busy runner
	 * completes, in milliseconds
	 * @param runners the number of runners that can serve the call
	 * @param gateways the number of gateways that send such calls
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void recordRelease(double intervalMillis, int runners, int gateways, long nowMillis) {
		this.nextReleaseMillis = Math.max(this.nextReleaseMillis, nowMillis - RELEASE_BURST_MILLIS)
				+ intervalMillis / RELEASED_PART * gateways / Math.max(1, runners);
	}

	/**
	 * Records the arrival of a call.
	 * @param call the call
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void recordArrival(Competitor call, long nowMillis) {
		this.lastSeenMillis.put(call.urgency(), nowMillis);
		this.all.arrived.add(1, nowMillis);
		share(this.routes, call.route()).arrived.add(1, nowMillis);
		share(this.levels, call.urgency()).arrived.add(1, nowMillis);
		shortage(call.urgency()).arrived.add(1, nowMillis);
		if (call.account() != null) {
			share(this.accounts, call.account()).arrived.add(1, nowMillis);
		}
		if (nowMillis - this.prunedAtMillis > LEVEL_USE_MILLIS) {
			prune(nowMillis);
		}
	}

	/**
	 * Records that a call that can be on time has found no place.
	 * @param call the call
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void recordUnplaced(Competitor call, long nowMillis) {
		shortage(call.urgency()).unplaced.add(1, nowMillis);
	}

	private Shortage shortage(Urgency urgency) {
		return this.shortages.computeIfAbsent(urgency, (key) -> new Shortage());
	}

	private boolean lacksPlaces(Urgency urgency, long nowMillis) {
		Shortage shortage = this.shortages.get(urgency);
		return shortage != null && shortage.unplaced.value(nowMillis) > SHORTAGE_PART
				* Math.max(MIN_CALLS, shortage.arrived.value(nowMillis));
	}

	/**
	 * Records that a call is sent for the first time.
	 * @param call the call
	 * @param late whether its response will be late
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void recordSend(Competitor call, boolean late, long nowMillis) {
		this.all.sent.add(1, nowMillis);
		share(this.routes, call.route()).sent.add(1, nowMillis);
		share(this.levels, call.urgency()).sent.add(1, nowMillis);
		if (call.account() != null) {
			share(this.accounts, call.account()).sent.add(1, nowMillis);
			this.costs.computeIfAbsent(call.urgency(), (key) -> new HashMap<>())
				.computeIfAbsent(call.account(), (key) -> new DecayingSum(SHARE_MILLIS))
				.add(call.cost(), nowMillis);
		}
		if (late) {
			this.sentLate.add(nowMillis);
		}
		else {
			this.sent.computeIfAbsent(call.urgency(), (key) -> SlidingWindowCounter.create(RATE_WINDOW_MILLIS))
				.add(nowMillis);
		}
	}

	private static <K> Share share(Map<K, Share> shares, K key) {
		return shares.computeIfAbsent(key, (absent) -> new Share());
	}

	private void prune(long nowMillis) {
		this.prunedAtMillis = nowMillis;
		this.lastSeenMillis.values().removeIf((seen) -> nowMillis - seen >= LEVEL_USE_MILLIS);
		this.routes.values().removeIf((share) -> share.arrived.value(nowMillis) < NEGLIGIBLE_CALLS);
		this.accounts.values().removeIf((share) -> share.arrived.value(nowMillis) < NEGLIGIBLE_CALLS);
		this.costs.values()
			.forEach((level) -> level.values().removeIf((cost) -> cost.value(nowMillis) < NEGLIGIBLE_CALLS));
		this.levels.keySet().retainAll(this.lastSeenMillis.keySet());
		this.shortages.keySet().retainAll(this.lastSeenMillis.keySet());
		this.sent.keySet().retainAll(this.lastSeenMillis.keySet());
		this.costs.keySet().retainAll(this.lastSeenMillis.keySet());
	}

	/**
	 * Returns the levels that count now: those of the configuration of which calls were
	 * seen recently. A process that has just started counts all of them.
	 * @param configured the levels of the configuration
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the levels in use
	 */
	public UrgencyLevels levelsInUse(UrgencyLevels configured, long nowMillis) {
		if (nowMillis - this.startedAtMillis < LEVEL_USE_MILLIS) {
			return configured;
		}
		Set<Urgency> seen = new HashSet<>();
		this.lastSeenMillis.forEach((urgency, millis) -> {
			if (nowMillis - millis < LEVEL_USE_MILLIS) {
				seen.add(urgency);
			}
		});
		return configured.restrictedTo(seen);
	}

	/**
	 * Returns the competition that a call is in.
	 * @param configured the levels of the configuration
	 * @param call the call
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the levels that it competes with, and its standing
	 */
	public CompetingLevels competitionOf(UrgencyLevels configured, Competitor call, long nowMillis) {
		if (!configured.differ()) {
			return CompetingLevels.none();
		}
		List<Long> moreUrgentGoals = new ArrayList<>();
		int lessUrgent = 0;
		UrgencyLevels inUse = levelsInUse(configured, nowMillis);
		for (UrgencyLevels.Level level : inUse.levels()) {
			int order = level.urgency().compareTo(call.urgency());
			boolean lacksPlaces = lacksPlaces(level.urgency(), nowMillis);
			if (order < 0 && lacksPlaces) {
				moreUrgentGoals.add(level.goalMillis());
			}
			lessUrgent += (order > 0 && lacksPlaces) ? 1 : 0;
		}
		return new CompetingLevels(moreUrgentGoals, lessUrgent, inUse.levels().size() > 1, standing(call, nowMillis));
	}

	private CompetingLevels.Standing standing(Competitor call, long nowMillis) {
		double served = this.all.served(nowMillis);
		if (isBelowMinimum(this.routes.get(call.route()), served, nowMillis)
				|| isBelowMinimum(this.accounts.get(call.account()), served, nowMillis)) {
			return CompetingLevels.Standing.BELOW_MINIMUM;
		}
		// an account takes nothing from others while they find places
		return (lacksPlaces(call.urgency(), nowMillis) && isOverShare(call, nowMillis))
				? CompetingLevels.Standing.OVER_SHARE : CompetingLevels.Standing.REGULAR;
	}

	private static boolean isBelowMinimum(Share share, double servedOfAll, long nowMillis) {
		return share != null && share.arrived.value(nowMillis) >= MIN_CALLS
				&& share.served(nowMillis) < MINIMUM_SHARE * servedOfAll;
	}

	private boolean isOverShare(Competitor call, long nowMillis) {
		Map<AccountName, DecayingSum> level = this.costs.get(call.urgency());
		if (call.account() == null || level == null || level.size() < 2) {
			return false;
		}
		double total = level.values().stream().mapToDouble((cost) -> cost.value(nowMillis)).sum();
		return usage(call.urgency(), call.account(), nowMillis) > total / level.size();
	}

	/**
	 * Returns whether a level is served less often than a less urgent one. Its late calls
	 * then go before calls of that level that can be on time. Otherwise a short goal
	 * would be a disadvantage where predictions are uncertain: calls with a longer one
	 * can wait for a place for longer before they are late.
	 * @param urgency the urgency of the level
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether there is such a level
	 */
	public boolean isServedLessThanLessUrgent(Urgency urgency, long nowMillis) {
		Share own = this.levels.get(urgency);
		if (own == null || own.arrived.value(nowMillis) < MIN_CALLS) {
			return false;
		}
		double served = own.served(nowMillis);
		return this.levels.entrySet()
			.stream()
			.anyMatch((level) -> level.getKey().compareTo(urgency) > 0
					&& level.getValue().arrived.value(nowMillis) >= MIN_CALLS
					&& level.getValue().served(nowMillis) > served);
	}

	/**
	 * Returns what an account has received recently in an urgency level.
	 * @param urgency the urgency
	 * @param account the account, null for calls without one
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the cost of the calls sent for it, weighted by their age
	 */
	public double usage(Urgency urgency, AccountName account, long nowMillis) {
		if (account == null) {
			return 0;
		}
		DecayingSum cost = this.costs.getOrDefault(urgency, Map.of()).get(account);
		return (cost != null) ? cost.value(nowMillis) : 0;
	}

	/**
	 * Returns the rate at which waiting calls of an urgency may expect to be sent: that
	 * of recent calls that were not more urgent.
	 * @param urgency the urgency
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the calls per second
	 */
	public double sentPerSecond(Urgency urgency, long nowMillis) {
		long count = this.sentLate.count(nowMillis);
		for (Map.Entry<Urgency, SlidingWindowCounter> entry : this.sent.entrySet()) {
			count += (entry.getKey().compareTo(urgency) >= 0) ? entry.getValue().count(nowMillis) : 0;
		}
		return Math.max(MIN_CALLS_PER_SECOND, count);
	}

	/**
	 * Returns the rate at which late calls may expect to be sent.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the calls per second
	 */
	public double sentLatePerSecond(long nowMillis) {
		return Math.max(MIN_CALLS_PER_SECOND, this.sentLate.count(nowMillis));
	}

	/**
	 * A call as a competitor for capacity.
	 *
	 * @param urgency its urgency
	 * @param route the name of its route
	 * @param account the client account, null for a call without a key
	 * @param cost the work that it causes, relative to other calls of the service
	 */
	public record Competitor(Urgency urgency, String route, AccountName account, double cost) {

		public Competitor {
			Objects.requireNonNull(urgency, "urgency must not be null");
			Objects.requireNonNull(route, "route must not be null");
		}

	}

	/** The recent calls of a level, and those of them without a place. */
	private static final class Shortage {

		private final DecayingSum arrived = new DecayingSum(SHORTAGE_MILLIS);

		private final DecayingSum unplaced = new DecayingSum(SHORTAGE_MILLIS);

	}

	/** The calls that have arrived and the part of them that was sent. */
	private static final class Share {

		private final DecayingSum arrived = new DecayingSum(SHARE_MILLIS);

		private final DecayingSum sent = new DecayingSum(SHARE_MILLIS);

		private double served(long nowMillis) {
			return this.sent.value(nowMillis) / Math.max(1, this.arrived.value(nowMillis));
		}

	}

}
