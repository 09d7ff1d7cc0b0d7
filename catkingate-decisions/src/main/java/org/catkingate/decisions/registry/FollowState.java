package org.catkingate.decisions.registry;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.catkingate.model.registry.RegistryItem;

/**
 * The state of following a registry. Immutable; each step creates a new state.
 *
 * @param times the timing parameters
 * @param seed the seed that makes delays differ between processes
 * @param calls the calls made and their outcome
 * @param items the known items, by key
 * @param fullRead the full read in progress, empty while watching for changes
 * @param revision the last known revision
 * @param graceDeadlines the times until which items removed during an outage of the
 * registry are kept, by key, in milliseconds of the monotonic clock
 * @param confirmation when the items were last known to be current
 * @since 0.1
 */
public record FollowState(FollowTimes times, long seed, Calls calls, SortedMap<String, RegistryItem> items,
		Optional<FullRead> fullRead, long revision, Map<String, Long> graceDeadlines, Confirmation confirmation) {

	/**
	 * Returns the state before the first call.
	 * @param times the timing parameters
	 * @param seed the seed that makes delays differ between processes
	 * @return the state, never null
	 */
	public static FollowState initial(FollowTimes times, long seed) {
		return new FollowState(times, seed, Calls.none(), new TreeMap<>(), Optional.of(FullRead.start()), 0, Map.of(),
				Confirmation.none());
	}

	FollowState withCalls(Calls next) {
		return new FollowState(this.times, this.seed, next, this.items, this.fullRead, this.revision,
				this.graceDeadlines, this.confirmation);
	}

	FollowState withFullRead(FullRead next) {
		return new FollowState(this.times, this.seed, this.calls, this.items, Optional.of(next), this.revision,
				this.graceDeadlines, this.confirmation);
	}

	FollowState withItems(SortedMap<String, RegistryItem> known, long atRevision, Map<String, Long> deadlines) {
		return new FollowState(this.times, this.seed, this.calls, known, Optional.empty(), atRevision, deadlines,
				this.confirmation);
	}

	FollowState withFullReadEnded() {
		return withItems(this.items, this.revision, this.graceDeadlines);
	}

	/*
	 * Keeps a full read in progress, unlike the items that result from it.
	 */
	FollowState withCopy(SortedMap<String, RegistryItem> copied, long atRevision, Map<String, Long> deadlines) {
		return new FollowState(this.times, this.seed, this.calls, copied, this.fullRead, atRevision, deadlines,
				this.confirmation);
	}

	FollowState withConfirmation(Confirmation next) {
		return new FollowState(this.times, this.seed, this.calls, this.items, this.fullRead, this.revision,
				this.graceDeadlines, next);
	}

	RegistryView view() {
		return RegistryView.of(this.revision, this.items.values());
	}

	/**
	 * The calls made and their outcome.
	 *
	 * @param lastCall the number of the last call
	 * @param waiting whether its response is pending
	 * @param failures the number of consecutive failed calls
	 * @param firstFailureAtMillis the time of the first of these failures
	 * @param graceUntilMillis the time until which a removal may be due to an expiry
	 * during an outage
	 * @param nextCallAtMillis the earliest time of the next call
	 */
	public record Calls(long lastCall, boolean waiting, int failures, long firstFailureAtMillis, long graceUntilMillis,
			long nextCallAtMillis) {

		static Calls none() {
			return new Calls(0, false, 0, 0, Long.MIN_VALUE, Long.MIN_VALUE);
		}

		Calls withCallStarted() {
			return new Calls(this.lastCall + 1, true, this.failures, this.firstFailureAtMillis, this.graceUntilMillis,
					this.nextCallAtMillis);
		}

		Calls withFailure(long nowMillis, long backoffMillis) {
			long firstFailureAt = (this.failures == 0) ? nowMillis : this.firstFailureAtMillis;
			return new Calls(this.lastCall, false, this.failures + 1, firstFailureAt, this.graceUntilMillis,
					nowMillis + backoffMillis);
		}

		Calls withResponse(long graceUntil, long nextAt) {
			return new Calls(this.lastCall, false, 0, 0, graceUntil, nextAt);
		}

	}

	/**
	 * A full read of the registry.
	 *
	 * @param items the items of the pages received so far
	 * @param lastKey the last key of those pages, empty before the first page
	 * @param revision the lowest revision that a page covers. Changes are watched from
	 * there, since the pages together are not a consistent snapshot
	 * @param requestedAt the time at which the first page was requested
	 */
	public record FullRead(SortedMap<String, RegistryItem> items, String lastKey, long revision, Moment requestedAt) {

		static FullRead start() {
			return new FullRead(new TreeMap<>(), "", Long.MAX_VALUE, Moment.NEVER);
		}

	}

	/**
	 * The knowledge of when the items were current.
	 *
	 * @param atMillis the time at which they were last known to be current, in
	 * milliseconds of the monotonic clock
	 * @param byCopy whether a copy of another process has confirmed them
	 * @param nextCopyRequestAtMillis the earliest time of the next request for a copy
	 */
	public record Confirmation(long atMillis, boolean byCopy, long nextCopyRequestAtMillis) {

		static Confirmation none() {
			return new Confirmation(Moment.NEVER.monotonicMillis(), false, Long.MIN_VALUE);
		}

		Confirmation withResponse(long confirmedAtMillis) {
			return new Confirmation(Math.max(this.atMillis, confirmedAtMillis), false, this.nextCopyRequestAtMillis);
		}

		Confirmation withCopy(long confirmedAtMillis) {
			return new Confirmation(Math.max(this.atMillis, confirmedAtMillis), true, this.nextCopyRequestAtMillis);
		}

		Confirmation withCopyRequested(long nextAtMillis) {
			return new Confirmation(this.atMillis, this.byCopy, nextAtMillis);
		}

	}

}
