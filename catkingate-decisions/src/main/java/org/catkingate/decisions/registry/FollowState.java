package org.catkingate.decisions.registry;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryPosition;

/**
 * The state of following a registry. Immutable; each step creates a new state.
 *
 * @param times the timing parameters
 * @param seed the seed that makes delays differ between processes
 * @param calls the calls made and their outcome
 * @param content the known items
 * @param fullRead the full read in progress, empty while watching for changes
 * @param position the last known position of the registry
 * @param confirmation when the items were last known to be current
 * @param settlement what is awaited before the first content of an era is confirmed
 * @since 0.1
 */
public record FollowState(FollowTimes times, long seed, Calls calls, Items content, Optional<FullRead> fullRead,
		RegistryPosition position, Confirmation confirmation, Settlement settlement) {

	/**
	 * Returns the state before the first call.
	 * @param times the timing parameters
	 * @param seed the seed that makes delays differ between processes
	 * @return the state, never null
	 */
	public static FollowState initial(FollowTimes times, long seed) {
		return new FollowState(times, seed, Calls.none(), Items.none(), Optional.of(FullRead.start()),
				RegistryPosition.START, Confirmation.none(), Settlement.none());
	}

	/**
	 * Returns the known items.
	 * @return the items, by key
	 */
	public SortedMap<String, RegistryItem> items() {
		return this.content.byKey();
	}

	Set<String> retained() {
		return this.content.retained();
	}

	Map<String, Long> graceDeadlines() {
		return this.content.graceDeadlines();
	}

	FollowState withCalls(Calls next) {
		return new FollowState(this.times, this.seed, next, this.content, this.fullRead, this.position,
				this.confirmation, this.settlement);
	}

	FollowState withFullRead(FullRead next) {
		return new FollowState(this.times, this.seed, this.calls, this.content, Optional.of(next), this.position,
				this.confirmation, this.settlement);
	}

	FollowState withItems(Items known, RegistryPosition at) {
		return new FollowState(this.times, this.seed, this.calls, known, Optional.empty(), at, this.confirmation,
				this.settlement);
	}

	FollowState withFullReadEnded() {
		return withItems(this.content, this.position);
	}

	/*
	 * Keeps a full read in progress, unlike the items that result from it.
	 */
	FollowState withCopy(Items copied, RegistryPosition at) {
		return new FollowState(this.times, this.seed, this.calls, copied, this.fullRead, at, this.confirmation,
				this.settlement);
	}

	FollowState withConfirmation(Confirmation next) {
		return new FollowState(this.times, this.seed, this.calls, this.content, this.fullRead, this.position, next,
				this.settlement);
	}

	FollowState withSettlement(Settlement next) {
		return new FollowState(this.times, this.seed, this.calls, this.content, this.fullRead, this.position,
				this.confirmation, next);
	}

	/**
	 * Compares these items with those that another process holds. A process that knows an
	 * older era receives all items as changes after the start of this era; one that knows
	 * a later era receives configurations and declared versions only. Runners that the
	 * registry no longer lists are left out.
	 * @param after the position of the other process's copy
	 * @return what the other process lacks, without items whose published content is
	 * unknown
	 */
	public RegistryDelta deltaSince(RegistryPosition after) {
		if (after.isOfLaterEraThan(this.position)) {
			return new RegistryDelta(after, this.position, Set.of(),
					passedOn((item) -> ItemMerge.isVersioned(item.value())));
		}
		RegistryPosition start = this.position.isOfLaterEraThan(after) ? this.position.startOfEra() : after;
		List<RegistryItem> changes = passedOn(
				(item) -> item.revision() > start.revision() || retained().contains(item.key()));
		if (this.position.compareTo(start) <= 0) {
			return new RegistryDelta(start, this.position, Set.of(), changes);
		}
		Set<String> keys = new HashSet<>(items().keySet());
		keys.removeAll(graceDeadlines().keySet());
		return new RegistryDelta(start, this.position, keys, changes);
	}

	private List<RegistryItem> passedOn(Predicate<RegistryItem> condition) {
		return items().values()
			.stream()
			.filter((item) -> item.content() != null && !graceDeadlines().containsKey(item.key()))
			.filter(condition)
			.map(this::withRevisionInRegistry)
			.toList();
	}

	/*
	 * A retained configuration or version is passed on as one that the registry does not
	 * hold. Under the revision of the registry's lower value, the receiver would not
	 * retain it, would not pass it on, and would still confirm the copies of others.
	 */
	private RegistryItem withRevisionInRegistry(RegistryItem item) {
		return (retained().contains(item.key()) && ItemMerge.isVersioned(item.value()))
				? new RegistryItem(item.key(), ItemMerge.NOT_IN_REGISTRY, item.value(), item.content()) : item;
	}

	RegistryView view() {
		return RegistryView.of(this.position, items().values());
	}

	/**
	 * The known items. Immutable.
	 *
	 * @param byKey the items, by key
	 * @param retained the keys of the items whose value is in force although the registry
	 * holds a lower version or none
	 * @param graceDeadlines the times until which runners are kept that the registry no
	 * longer lists, by key, in milliseconds of the monotonic clock
	 */
	public record Items(SortedMap<String, RegistryItem> byKey, Set<String> retained, Map<String, Long> graceDeadlines) {

		static Items none() {
			return new Items(new TreeMap<>(), Set.of(), Map.of());
		}

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

		Calls withGraceUntil(long graceUntil) {
			return new Calls(this.lastCall, this.waiting, this.failures, this.firstFailureAtMillis, graceUntil,
					this.nextCallAtMillis);
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

	/**
	 * What is awaited before the first content of an era is confirmed. The registry may
	 * have been restored from a copy that lacks a configuration which other processes
	 * hold, so that they are asked. Their copies confirm the content as of their own age.
	 *
	 * @param confirmFromMillis the time from which a response confirms it that was
	 * requested then
	 * @param askUntilMillis the time until which other processes are asked
	 * @param pending whether no such response was received yet
	 */
	public record Settlement(long confirmFromMillis, long askUntilMillis, boolean pending) {

		static Settlement none() {
			return new Settlement(Long.MIN_VALUE, Long.MIN_VALUE, false);
		}

		Settlement withRequestsEnded() {
			return new Settlement(this.confirmFromMillis, Long.MIN_VALUE, this.pending);
		}

		Settlement withConfirmation() {
			return new Settlement(this.confirmFromMillis, this.askUntilMillis, false);
		}

		/*
		 * A watch is shortened so that the registry confirms the content as early as
		 * possible.
		 */
		long watchMillis(long nowMillis, long usualMillis) {
			return this.pending ? Math.min(usualMillis, Math.max(1, this.confirmFromMillis - nowMillis)) : usualMillis;
		}

	}

}
