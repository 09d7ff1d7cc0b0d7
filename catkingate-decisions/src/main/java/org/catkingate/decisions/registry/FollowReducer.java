package org.catkingate.decisions.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryPage;
import org.catkingate.model.registry.RegistryPosition;
import org.catkingate.model.registry.RegistryValue;

/**
 * A reducer that follows a registry: it reads all items page by page, then watches for
 * changes, and starts a new full read when the registry no longer keeps the history or
 * has been restored from a copy. At most one call is in progress, failed calls are
 * retried at growing intervals, responses of an era that has ended are dropped, and a
 * configuration is never replaced by a lower version. Stateless and safe for use by any
 * thread.
 *
 * @since 0.1
 */
public final class FollowReducer implements Reducer<FollowState> {

	/**
	 * The minimum duration of a registry outage in which entries can expire, in
	 * milliseconds.
	 */
	private static final long MIN_EXPIRY_OUTAGE_MILLIS = 500;

	private FollowReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer, never null
	 */
	public static FollowReducer create() {
		return new FollowReducer();
	}

	@Override
	public ReductionResult<FollowState> reduce(FollowState state, long nowMillis, Event event) {
		if (event instanceof FollowEvent.Ticked) {
			return handleTick(state, nowMillis);
		}
		if (event instanceof FollowEvent.RereadDue) {
			return state.fullRead().isPresent() ? ReductionResult.of(state)
					: restartFullRead(state, nowMillis, new ArrayList<>());
		}
		if (event instanceof FollowEvent.PageReceived page && isAwaited(state, page.call())) {
			return handlePage(state, nowMillis, page);
		}
		if (event instanceof FollowEvent.ChangesReceived changes && isAwaited(state, changes.call())) {
			return handleChanges(state, nowMillis, changes);
		}
		if (event instanceof FollowEvent.CopyReceived copy) {
			return handleCopy(state, nowMillis, copy);
		}
		if (event instanceof FollowEvent.CallFailed failed && isAwaited(state, failed.call())) {
			return handleFailure(state, nowMillis, failed);
		}
		return ReductionResult.of(state);
	}

	private static boolean isAwaited(FollowState state, long call) {
		return state.calls().waiting() && state.calls().lastCall() == call;
	}

	private static ReductionResult<FollowState> handleTick(FollowState state, long nowMillis) {
		FollowState current = removeItemsPastGrace(state, nowMillis);
		List<Effect> effects = new ArrayList<>();
		if (current != state) {
			effects.add(new FollowEffect.Publish(current.view()));
		}
		current = requestCopyIfDue(current, nowMillis, effects);
		if (!current.calls().waiting() && nowMillis >= current.calls().nextCallAtMillis()) {
			return startCall(current, nowMillis, effects);
		}
		return new ReductionResult<>(current, effects);
	}

	private static FollowState requestCopyIfDue(FollowState state, long nowMillis, List<Effect> effects) {
		FollowState.Confirmation confirmation = state.confirmation();
		boolean due = nowMillis - confirmation.atMillis() >= state.times().copyRequestAgeMillis()
				|| nowMillis < state.settlement().askUntilMillis();
		if (!due || nowMillis < confirmation.nextCopyRequestAtMillis()) {
			return state;
		}
		effects.add(new FollowEffect.RequestCopy(state.position()));
		double draw = RendezvousHashing.uniform(RendezvousHashing.mix(state.seed() + nowMillis));
		return state
			.withConfirmation(confirmation.withCopyRequested(nowMillis + state.times().copyRequestDelayMillis(draw)));
	}

	private static FollowState confirm(FollowState state, Moment requestedAt, List<Effect> effects) {
		if (requestedAt.monotonicMillis() < state.settlement().confirmFromMillis()) {
			return state;
		}
		effects.add(new FollowEffect.Confirm(requestedAt));
		return state.withSettlement(state.settlement().withConfirmation())
			.withConfirmation(state.confirmation().withResponse(requestedAt.monotonicMillis()));
	}

	private static ReductionResult<FollowState> handleCopy(FollowState state, long nowMillis,
			FollowEvent.CopyReceived event) {
		RegistryDelta delta = event.delta();
		RegistryPosition known = state.position();
		boolean restored = delta.position().isOfLaterEraThan(known);
		boolean older = known.isOfLaterEraThan(delta.position());
		boolean applicable = restored ? delta.after().equals(delta.position().startOfEra())
				: older || delta.after().compareTo(known) <= 0;
		if (!applicable) {
			return ReductionResult.of(state);
		}
		List<Effect> effects = new ArrayList<>();
		FollowState next = state;
		if (restored) {
			next = applyRestoredCopy(state, nowMillis, delta, effects);
		}
		else if (delta.position().compareTo(known) > 0) {
			next = applyDelta(state, nowMillis, delta, effects);
		}
		else {
			next = applyHigherVersions(state, delta);
		}
		if (!next.view().equals(state.view())) {
			effects.add(new FollowEffect.Publish(next.view()));
		}
		next = older ? next : confirmByCopy(next, event.confirmedAt(), delta, effects);
		if (state.times().isRecent(nowMillis - event.confirmedAt().monotonicMillis())) {
			next = next.withSettlement(next.settlement().withRequestsEnded());
		}
		if (restored && next.calls().waiting() && next.fullRead().isEmpty()) {
			// the watch in progress refers to a revision of the earlier era
			return startCall(next, nowMillis, effects);
		}
		return new ReductionResult<>(next, effects);
	}

	/*
	 * The other copy had all changes up to the time at which it was confirmed. It thus
	 * confirms this one too, unless this one lacks changes that it does not contain.
	 */
	private static FollowState confirmByCopy(FollowState state, Moment confirmedAt, RegistryDelta delta,
			List<Effect> effects) {
		FollowState.Confirmation confirmation = state.confirmation();
		if (confirmedAt.monotonicMillis() <= confirmation.atMillis()) {
			return state;
		}
		if (!confirmation.byCopy()) {
			effects.add(new FollowEffect.ReportCopyUsed(delta.position()));
		}
		effects.add(new FollowEffect.Confirm(confirmedAt));
		return state.withConfirmation(confirmation.withCopy(confirmedAt.monotonicMillis()));
	}

	private static FollowState applyDelta(FollowState state, long nowMillis, RegistryDelta delta,
			List<Effect> effects) {
		ItemMerge merge = ItemMerge.ofChanges(state, effects);
		state.items().values().forEach((known) -> {
			if (!delta.keys().contains(known.key())) {
				merge.keepMissing(known, nowMillis, false);
			}
		});
		delta.changes().forEach((change) -> {
			RegistryItem known = merge.item(change.key());
			if (known == null || known.revision() < change.revision()) {
				merge.put(known, change, false);
			}
			else {
				merge.putIfHigher(change);
			}
		});
		return state.withCopy(merge.result(), delta.position());
	}

	private static FollowState applyHigherVersions(FollowState state, RegistryDelta delta) {
		ItemMerge merge = ItemMerge.ofChanges(state, new ArrayList<>());
		delta.changes().forEach(merge::putIfHigher);
		return state.withCopy(merge.result(), state.position());
	}

	private static FollowState applyRestoredCopy(FollowState state, long nowMillis, RegistryDelta delta,
			List<Effect> effects) {
		FollowState graced = state
			.withCalls(state.calls().withGraceUntil(nowMillis + state.times().expiryGraceMillis()));
		FollowState next = graced.withCopy(
				ItemMerge.withContent(graced, nowMillis, delta.changes(), delta.position(), effects).result(),
				delta.position());
		reportRestored(state, next, true, effects);
		return next.withSettlement(settlement(state, nowMillis));
	}

	private static FollowState.Settlement settlement(FollowState before, long nowMillis) {
		return before.times().settlement(nowMillis, before.position().equals(RegistryPosition.START));
	}

	private static void reportRestored(FollowState before, FollowState after, boolean byCopy, List<Effect> effects) {
		if (!before.position().equals(RegistryPosition.START)) {
			effects.add(new FollowEffect.ReportRestored(before.position(), after.position(), byCopy,
					after.retained().size(), after.graceDeadlines().size()));
		}
	}

	private static FollowState removeItemsPastGrace(FollowState state, long nowMillis) {
		if (state.graceDeadlines().values().stream().noneMatch((until) -> nowMillis >= until)) {
			return state;
		}
		ItemMerge merge = ItemMerge.ofChanges(state, new ArrayList<>());
		state.graceDeadlines().forEach((key, until) -> {
			if (nowMillis >= until) {
				merge.remove(key);
			}
		});
		return state.withCopy(merge.result(), state.position());
	}

	private static ReductionResult<FollowState> startCall(FollowState state, long nowMillis, List<Effect> effects) {
		FollowState.Calls calls = state.calls().withCallStarted();
		Effect call = state.fullRead()
			.<Effect>map((fullRead) -> new FollowEffect.ReadPage(calls.lastCall(), fullRead.lastKey()))
			.orElseGet(() -> new FollowEffect.Watch(calls.lastCall(), state.position().revision(),
					state.settlement().watchMillis(nowMillis, state.times().watchMillis()),
					watchesVersionsOnly(state)));
		effects.add(call);
		return new ReductionResult<>(state.withCalls(calls), effects);
	}

	private static boolean watchesVersionsOnly(FollowState state) {
		return state.times().versionsOnly() && state.items()
			.values()
			.stream()
			.anyMatch((item) -> item.value() instanceof RegistryValue.Configuration);
	}

	/*
	 * The response to the call in progress will be ignored.
	 */
	private static ReductionResult<FollowState> restartFullRead(FollowState state, long nowMillis,
			List<Effect> effects) {
		FollowState restarted = state.withCalls(state.calls().withResponse(state.calls().graceUntilMillis(), nowMillis))
			.withFullRead(FollowState.FullRead.start());
		return startCall(restarted, nowMillis, effects);
	}

	private static ReductionResult<FollowState> handlePage(FollowState state, long nowMillis,
			FollowEvent.PageReceived event) {
		RegistryPage page = event.page();
		FollowState.FullRead previous = state.fullRead().orElseGet(FollowState.FullRead::start);
		boolean first = previous.lastKey().isEmpty();
		if (state.position().isOfLaterEraThan(page.position())
				|| previous.position().isOfLaterEraThan(page.position())) {
			return handleOlderEra(state, nowMillis, page.position());
		}
		List<Effect> effects = new ArrayList<>();
		FollowState updated = recordResponse(state, nowMillis, nowMillis, effects);
		if (!first && page.position().isOfLaterEraThan(previous.position())) {
			return restartFullRead(updated, nowMillis, effects);
		}
		if (first && page.position().isOfLaterEraThan(state.position())) {
			updated = updated.withCalls(updated.calls().withGraceUntil(nowMillis + state.times().expiryGraceMillis()));
		}
		SortedMap<String, RegistryItem> items = new TreeMap<>(previous.items());
		page.items().forEach((item) -> items.put(item.key(), item));
		Moment requestedAt = first ? event.requestedAt() : previous.requestedAt();
		String lastKey = page.items().isEmpty() ? previous.lastKey() : page.items().get(page.items().size() - 1).key();
		RegistryPosition position = (first || page.position().compareTo(previous.position()) < 0) ? page.position()
				: previous.position();
		FollowState.FullRead fullRead = new FollowState.FullRead(items, lastKey, position, requestedAt);
		if (page.hasMore() && !page.items().isEmpty()) {
			return startCall(updated.withFullRead(fullRead), nowMillis, effects);
		}
		FollowState complete = applyFullRead(updated, nowMillis, fullRead, effects);
		effects.add(new FollowEffect.Publish(complete.view()));
		return startCall(confirm(complete, fullRead.requestedAt(), effects), nowMillis, effects);
	}

	private static FollowState applyFullRead(FollowState state, long nowMillis, FollowState.FullRead fullRead,
			List<Effect> effects) {
		if (fullRead.position().compareTo(state.position()) < 0) {
			// a copy of another process is newer than the pages
			return state.withFullReadEnded();
		}
		FollowState next = state
			.withItems(ItemMerge.withContent(state, nowMillis, fullRead.items().values(), fullRead.position(), effects)
				.result(), fullRead.position());
		if (!fullRead.position().isOfLaterEraThan(state.position())) {
			return next;
		}
		reportRestored(state, next, false, effects);
		return next.withSettlement(settlement(state, nowMillis));
	}

	private static ReductionResult<FollowState> handleChanges(FollowState state, long nowMillis,
			FollowEvent.ChangesReceived event) {
		RegistryPage changes = event.changes();
		if (state.position().isOfLaterEraThan(changes.position())) {
			return handleOlderEra(state, nowMillis, changes.position());
		}
		List<Effect> effects = new ArrayList<>();
		if (changes.position().isOfLaterEraThan(state.position())) {
			return restartFullRead(recordResponse(state, nowMillis, nowMillis, effects), nowMillis, effects);
		}
		if (changes.position().compareTo(state.position()) < 0) {
			// a copy of another process already reflects these changes
			FollowState current = confirm(recordResponse(state, nowMillis, nowMillis, effects), event.requestedAt(),
					effects);
			return startCall(current, nowMillis, effects);
		}
		long delay = changes.items().isEmpty() ? 0 : state.times().batchDelayMillis();
		FollowState updated = recordResponse(state, nowMillis, nowMillis + delay, effects);
		ItemMerge merge = ItemMerge.ofChanges(updated, effects);
		for (RegistryItem change : changes.items()) {
			applyChange(updated, nowMillis, change, merge);
		}
		FollowState next = updated.withItems(merge.result(), changes.position());
		if (!changes.items().isEmpty()) {
			effects.add(new FollowEffect.Publish(next.view()));
		}
		next = confirm(next, event.requestedAt(), effects);
		return (delay > 0) ? new ReductionResult<>(next, effects) : startCall(next, nowMillis, effects);
	}

	private static void applyChange(FollowState state, long nowMillis, RegistryItem change, ItemMerge merge) {
		RegistryItem known = merge.item(change.key());
		if (known != null && known.revision() > change.revision()) {
			return;
		}
		if (!change.isRemoved()) {
			merge.put(known, change, false);
		}
		else if (known != null && ItemMerge.mayHaveExpired(state, nowMillis, known)) {
			merge.keepUntil(change.key(), state.calls().graceUntilMillis());
		}
		else {
			merge.remove(change.key());
		}
	}

	/*
	 * A response that was delayed, for example on a pooled connection, shows nothing that
	 * is still true.
	 */
	private static ReductionResult<FollowState> handleOlderEra(FollowState state, long nowMillis,
			RegistryPosition position) {
		return handleFailure(state, nowMillis, new FollowEvent.CallFailed(state.calls().lastCall(), false,
				"the response is of era " + position.era() + ", which has ended"));
	}

	private static FollowState recordResponse(FollowState state, long nowMillis, long nextAtMillis,
			List<Effect> effects) {
		FollowState.Calls calls = state.calls();
		long graceUntil = calls.graceUntilMillis();
		if (calls.failures() > 0) {
			long outageMillis = nowMillis - calls.firstFailureAtMillis();
			effects.add(new FollowEffect.ReportAvailable(outageMillis, calls.failures()));
			if (outageMillis >= MIN_EXPIRY_OUTAGE_MILLIS) {
				graceUntil = nowMillis + state.times().expiryGraceMillis();
			}
		}
		return state.withCalls(calls.withResponse(graceUntil, nextAtMillis));
	}

	private static ReductionResult<FollowState> handleFailure(FollowState state, long nowMillis,
			FollowEvent.CallFailed event) {
		if (event.historyGone()) {
			List<Effect> effects = new ArrayList<>();
			return restartFullRead(recordResponse(state, nowMillis, nowMillis, effects), nowMillis, effects);
		}
		FollowState.Calls calls = state.calls();
		double draw = RendezvousHashing.uniform(RendezvousHashing.mix(state.seed() + calls.lastCall()));
		long backoff = state.times().backoffMillis(calls.failures() + 1, draw);
		List<Effect> effects = (calls.failures() == 0) ? List.of(new FollowEffect.ReportUnavailable(event.reason()))
				: List.of();
		return new ReductionResult<>(state.withCalls(calls.withFailure(nowMillis, backoff)), effects);
	}

}
