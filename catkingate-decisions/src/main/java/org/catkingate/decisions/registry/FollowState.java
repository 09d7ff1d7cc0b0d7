package org.catkingate.decisions.registry;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.catkingate.model.registry.RegistryItem;

/**
 * How far a process has read a registry. Immutable: each step makes a new one.
 *
 * @param times the times
 * @param seed makes waits differ between processes
 * @param calls the calls made and their success
 * @param items what is known, by key
 * @param fullRead the pages read so far of a new reading of the whole, empty if changes
 * are watched
 * @param revision the revision that is known
 * @param graceDeadlines until when items that were removed while the registry was away
 * still count, by key, in monotonic milliseconds
 * @since 0.1
 */
public record FollowState(FollowTimes times, long seed, Calls calls, SortedMap<String, RegistryItem> items,
		Optional<FullRead> fullRead, long revision, Map<String, Long> graceDeadlines) {

	/**
	 * Returns the state of a process that has read nothing.
	 * @param times the times
	 * @param seed makes waits differ between processes
	 * @return the state, never null
	 */
	public static FollowState initial(FollowTimes times, long seed) {
		return new FollowState(times, seed, Calls.none(), new TreeMap<>(), Optional.of(FullRead.start()), 0, Map.of());
	}

	FollowState with(Calls next) {
		return new FollowState(this.times, this.seed, next, this.items, this.fullRead, this.revision,
				this.graceDeadlines);
	}

	FollowState with(FullRead next) {
		return new FollowState(this.times, this.seed, this.calls, this.items, Optional.of(next), this.revision,
				this.graceDeadlines);
	}

	FollowState withItems(SortedMap<String, RegistryItem> known, long atRevision, Map<String, Long> lapsing) {
		return new FollowState(this.times, this.seed, this.calls, known, Optional.empty(), atRevision, lapsing);
	}

	RegistryView view() {
		return RegistryView.of(this.revision, this.items.values());
	}

	/**
	 * The calls made and their success.
	 *
	 * @param lastCall the number of the last call made
	 * @param waiting whether its answer is awaited
	 * @param failures how many calls in a row have failed
	 * @param firstFailureAtMillis when the first of them failed
	 * @param graceUntilMillis until when removals may be lapses of the time without
	 * contact
	 * @param nextCallAtMillis when the next call may be made
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
			long lostAt = (this.failures == 0) ? nowMillis : this.firstFailureAtMillis;
			return new Calls(this.lastCall, false, this.failures + 1, lostAt, this.graceUntilMillis,
					nowMillis + backoffMillis);
		}

		Calls withResponse(long graceUntil, long nextAt) {
			return new Calls(this.lastCall, false, 0, 0, graceUntil, nextAt);
		}

	}

	/**
	 * A reading of the whole.
	 *
	 * @param items the items of the pages so far
	 * @param lastKey the last key of those pages, empty before the first
	 * @param revision the lowest revision that a page covers; changes are watched from
	 * there, since pages are no snapshot
	 * @param requestedAt when the first page was asked for
	 */
	public record FullRead(SortedMap<String, RegistryItem> items, String lastKey, long revision, Moment requestedAt) {

		static FullRead start() {
			return new FullRead(new TreeMap<>(), "", Long.MAX_VALUE, Moment.NEVER);
		}

	}

}
