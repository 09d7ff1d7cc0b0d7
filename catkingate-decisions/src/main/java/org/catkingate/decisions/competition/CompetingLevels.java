package org.catkingate.decisions.competition;

import java.util.List;
import java.util.Objects;

/**
 * The urgency levels that a call competes with for the capacity of a service, and its
 * standing in its own level. From them follows up to which predicted queue it is
 * admitted. Immutable.
 *
 * @param moreUrgentGoalsMillis the goals of the more urgent levels that lack places, the
 * most urgent first, in milliseconds
 * @param lessUrgentLevels the number of less urgent levels that lack places
 * @param exist whether more than one level is in use
 * @param standing the standing of the call
 * @since 0.1
 */
public record CompetingLevels(List<Long> moreUrgentGoalsMillis, int lessUrgentLevels, boolean exist,
		Standing standing) {

	/**
	 * The fraction of the goal within which the first event must be predicted. Under
	 * overload, predictions are close to this bound and observed times are scattered
	 * around them, so the bound must be below the goal. A queue of waiting prompts far
	 * shorter than the goal is enough to keep a runner busy.
	 */
	public static final double GOAL_FRACTION = 0.75;

	/**
	 * The part of the distance to the next level by which the limit is lower for an
	 * account that has more than its share. Half of it keeps the account ahead of less
	 * urgent levels and behind the other accounts of its own.
	 */
	private static final double OVER_SHARE_STEP = 0.5;

	private static final CompetingLevels NONE = new CompetingLevels(List.of(), 0, false, Standing.REGULAR);

	public CompetingLevels {
		moreUrgentGoalsMillis = List.copyOf(moreUrgentGoalsMillis);
		Objects.requireNonNull(standing, "standing must not be null");
	}

	/**
	 * Returns the competition of a call to a service with a single level.
	 * @return the levels, never null
	 */
	public static CompetingLevels none() {
		return NONE;
	}

	private int count() {
		return this.moreUrgentGoalsMillis.size() + this.lessUrgentLevels + 1;
	}

	/**
	 * Returns the same levels with another standing of the call.
	 * @param next the standing
	 * @return the levels, never null
	 */
	public CompetingLevels as(Standing next) {
		return new CompetingLevels(this.moreUrgentGoalsMillis, this.lessUrgentLevels, this.exist, next);
	}

	/**
	 * Returns the longest queue up to which the call is admitted. The room between an
	 * idle runner and the limit of the most urgent level is divided evenly among the
	 * levels that lack places and that of the call, so that each level finds room that
	 * less urgent ones leave free. A runner without a queue takes calls of any level.
	 * @param ownLimitMillis the limit that follows from the call itself, in milliseconds
	 * @param idleMillis the predicted time to the first event at a runner without a
	 * queue, in milliseconds
	 * @return the limit of the predicted time to the first event, in milliseconds
	 */
	public double limitMillis(double ownLimitMillis, double idleMillis) {
		if (!this.exist) {
			return (this.standing == Standing.LATE) ? Math.max(ownLimitMillis, idleMillis) : ownLimitMillis;
		}
		int levels = count();
		double ownRoom = ownLimitMillis - idleMillis;
		double room = Double.POSITIVE_INFINITY;
		double tightestRoom = ownRoom;
		int rank = 0;
		for (long goalMillis : this.moreUrgentGoalsMillis) {
			double levelRoom = GOAL_FRACTION * goalMillis - idleMillis;
			tightestRoom = Math.min(tightestRoom, levelRoom);
			room = Math.min(levelRoom, room * remainingPart(levels, rank));
			rank++;
		}
		double limitRoom = switch (this.standing) {
			case REGULAR -> Math.min(ownRoom, room * remainingPart(levels, rank));
			case OVER_SHARE -> Math.min(ownRoom, room * remainingPart(levels, rank))
					* (1 - OVER_SHARE_STEP / Math.max(1, levels - rank));
			case BELOW_MINIMUM -> tightestRoom;
			// as one more level behind the least urgent one
			case LATE -> tightestRoom / (levels + 1);
		};
		double limit = idleMillis + Math.max(0, limitRoom);
		// a late call has missed its goal, which therefore does not keep it from an idle
		// runner
		return (this.standing == Standing.LATE) ? limit : Math.min(ownLimitMillis, limit);
	}

	/**
	 * Returns the number of calls for which this one must leave slots free where it is
	 * sent: one of each more urgent level that lacks places. A limit of the queue alone
	 * does not keep them, since a queue grows by much when the last free slot is taken.
	 * @return the number of calls
	 */
	public int reservedCalls() {
		int moreUrgent = this.moreUrgentGoalsMillis.size();
		return switch (this.standing) {
			case REGULAR -> moreUrgent;
			// one more for the other accounts of its level
			case OVER_SHARE -> this.exist ? moreUrgent + 1 : 0;
			case BELOW_MINIMUM -> 0;
			case LATE -> this.exist ? count() : 0;
		};
	}

	/**
	 * Returns the longest queue that the calls for which this one leaves slots free may
	 * find.
	 * @param ownLimitMillis the limit that follows from the call itself, in milliseconds
	 * @return the limit of the predicted time to the first event, in milliseconds
	 */
	public double reservedLimitMillis(double ownLimitMillis) {
		return this.moreUrgentGoalsMillis.stream()
			.mapToDouble((goalMillis) -> GOAL_FRACTION * goalMillis)
			.reduce(ownLimitMillis, Math::min);
	}

	/*
	 * The room of a level in proportion to that of the next more urgent one.
	 */
	private static double remainingPart(int levels, int rank) {
		return (rank == 0) ? 1 : (double) (levels - rank) / (levels - rank + 1);
	}

	/**
	 * The standing of a call in its urgency level.
	 */
	public enum Standing {

		/** Nothing is known that sets it back or forth. */
		REGULAR,

		/** Its account has received more than its share, while its level lacks places. */
		OVER_SHARE,

		/** Its request type or its account has received less than the minimum share. */
		BELOW_MINIMUM,

		/** Its response will be late wherever it is sent. */
		LATE

	}

}
