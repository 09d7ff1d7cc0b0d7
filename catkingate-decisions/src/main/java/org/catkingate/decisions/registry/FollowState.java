package org.catkingate.decisions.registry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryPosition;

/**
 * The state of following a registry. Immutable; each step creates a new state.
 *
 * @param times the timing parameters
 * @param seed the seed that makes delays differ between processes
 * @param calls the calls made and their outcome
 * @param items the known items, by key
 * @param fullRead the full read in progress, empty while watching for changes
 * @param position the last known position of the registry
 * @param graceDeadlines the times until which items removed during an outage of the
 * registry are kept, by key, in milliseconds of the monotonic clock
 * @param confirmation when the items were last known to be current
 * @since 0.1
 */
public record FollowState(FollowTimes times, long seed, Calls calls, SortedMap<String, RegistryItem> items,
		Optional<FullRead> fullRead, RegistryPosition position, Map<String, Long> graceDeadlines,
		Confirmation confirmation) {

	/**
	 * Returns the state before the first call.
	 * @param times the timing parameters
	 * @param seed the seed that makes delays differ between processes
	 * @return the state, never null
	 */
	public static FollowState initial(FollowTimes times, long seed) {
		return new FollowState(times, seed, Calls.none(), new TreeMap<>(), Optional.of(FullRead.start()),
				RegistryPosition.START, Map.of(), Confirmation.none());
	}

	FollowState withCalls(Calls next) {
		return new FollowState(this.times, this.seed, next, this.items, this.fullRead, this.position,
				this.graceDeadlines, this.confirmation);
	}

	FollowState withFullRead(FullRead next) {
		return new FollowState(this.times, this.seed, this.calls, this.items, Optional.of(next), this.position,
				this.graceDeadlines, this.confirmation);
	}

	FollowState withItems(SortedMap<String, RegistryItem> known, RegistryPosition at, Map<String, Long> deadlines) {
		return new FollowState(this.times, this.seed, this.calls, known, Optional.empty(), at, deadlines,
				this.confirmation);
	}

	FollowState withFullReadEnded() {
		return withItems(this.items, this.position, this.graceDeadlines);
	}

	/*
	 * Keeps a full read in progress, unlike the items that result from it.
	 */
	FollowState withCopy(SortedMap<String, RegistryItem> copied, RegistryPosition at, Map<String, Long> deadlines) {
		return new FollowState(this.times, this.seed, this.calls, copied, this.fullRead, at, deadlines,
				this.confirmation);
	}

	FollowState withConfirmation(Confirmation next) {
		return new FollowState(this.times, this.seed, this.calls, this.items, this.fullRead, this.position,
				this.graceDeadlines, next);
	}

	/**
	 * Compares these items with those that another process holds.
	 * @param after the position of the other process's copy
	 * @return what the other process lacks, without items whose published content is
	 * unknown
	 */
	public RegistryDelta deltaSince(RegistryPosition after) {
		if (this.position.revision() <= after.revision()) {
			return new RegistryDelta(after, this.position, Set.of(), List.of());
		}
		List<RegistryItem> changes = this.items.values()
			.stream()
			.filter((item) -> item.revision() > after.revision() && item.content() != null)
			.toList();
		return new RegistryDelta(after, this.position, this.items.keySet(), changes);
	}

	RegistryView view() {
		return RegistryView.of(this.position, this.items.values());
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
	 * @param position the lowest position that a page covers. Changes are watched from
	 * there, since the pages together are not a consistent snapshot
	 * @param requestedAt the time at which the first page was requested
	 */
	public record FullRead(SortedMap<String, RegistryItem> items, String lastKey, RegistryPosition position,
			Moment requestedAt) {

		static FullRead start() {
			return new FullRead(new TreeMap<>(), "", RegistryPosition.START, Moment.NEVER);
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
