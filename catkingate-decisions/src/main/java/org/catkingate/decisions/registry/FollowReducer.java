package org.catkingate.decisions.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * changes, and starts a new full read when the registry no longer keeps the history. At
 * most one call is in progress, failed calls are retried at growing intervals, and a
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
			return state.fullRead().isPresent() ? ReductionResult.of(state) : restartFullRead(state, nowMillis);
		}
		if (event instanceof FollowEvent.PageReceived page && isAwaited(state, page.call())) {
			return handlePage(state, nowMillis, page);
		}
		if (event instanceof FollowEvent.ChangesReceived changes && isAwaited(state, changes.call())) {
			return handleChanges(state, nowMillis, changes);
		}
		if (event instanceof FollowEvent.CopyReceived copy) {
			return handleCopy(state, copy);
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
			return startCall(current, effects);
		}
		return new ReductionResult<>(current, effects);
	}

	private static FollowState requestCopyIfDue(FollowState state, long nowMillis, List<Effect> effects) {
		FollowState.Confirmation confirmation = state.confirmation();
		if (nowMillis - confirmation.atMillis() < state.times().copyRequestAgeMillis()
				|| nowMillis < confirmation.nextCopyRequestAtMillis()) {
			return state;
		}
		effects.add(new FollowEffect.RequestCopy(state.position()));
		double draw = RendezvousHashing.uniform(RendezvousHashing.mix(state.seed() + nowMillis));
		return state
			.withConfirmation(confirmation.withCopyRequested(nowMillis + state.times().copyRequestDelayMillis(draw)));
	}

	/*
	 * The other copy had all changes up to the time at which it was confirmed. It thus
	 * confirms this one too, unless this one lacks changes that it does not contain.
	 */
	private static ReductionResult<FollowState> handleCopy(FollowState state, FollowEvent.CopyReceived event) {
		RegistryDelta delta = event.delta();
		if (delta.after().revision() > state.position().revision()) {
			return ReductionResult.of(state);
		}
		List<Effect> effects = new ArrayList<>();
		FollowState next = state;
		if (delta.position().revision() > state.position().revision()) {
			next = applyDelta(state, delta, effects);
			effects.add(new FollowEffect.Publish(next.view()));
		}
		if (!state.confirmation().byCopy()) {
			effects.add(new FollowEffect.ReportCopyUsed(delta.position()));
		}
		effects.add(new FollowEffect.Confirm(event.confirmedAt()));
		return new ReductionResult<>(
				next.withConfirmation(state.confirmation().withCopy(event.confirmedAt().monotonicMillis())), effects);
	}

	private static FollowState applyDelta(FollowState state, RegistryDelta delta, List<Effect> effects) {
		SortedMap<String, RegistryItem> items = new TreeMap<>(state.items());
		items.keySet().retainAll(delta.keys());
		delta.changes().forEach((change) -> {
			RegistryItem known = items.get(change.key());
			if (known == null || known.revision() < change.revision()) {
				items.put(change.key(), resolveItem(known, change, effects));
			}
		});
		Map<String, Long> graceDeadlines = new HashMap<>(state.graceDeadlines());
		graceDeadlines.keySet().retainAll(items.keySet());
		return state.withCopy(items, delta.position(), graceDeadlines);
	}

	private static FollowState removeItemsPastGrace(FollowState state, long nowMillis) {
		if (state.graceDeadlines().values().stream().noneMatch((until) -> nowMillis >= until)) {
			return state;
		}
		SortedMap<String, RegistryItem> items = new TreeMap<>(state.items());
		Map<String, Long> graceDeadlines = new HashMap<>(state.graceDeadlines());
		graceDeadlines.entrySet().removeIf((entry) -> {
			boolean overdue = nowMillis >= entry.getValue();
			if (overdue) {
				items.remove(entry.getKey());
			}
			return overdue;
		});
		return state.withCopy(items, state.position(), graceDeadlines);
	}

	private static ReductionResult<FollowState> startCall(FollowState state, List<Effect> effects) {
		FollowState.Calls calls = state.calls().withCallStarted();
		Effect call = state.fullRead()
			.<Effect>map((fullRead) -> new FollowEffect.ReadPage(calls.lastCall(), fullRead.lastKey()))
			.orElseGet(() -> new FollowEffect.Watch(calls.lastCall(), state.position().revision(),
					state.times().watchMillis(), watchesVersionsOnly(state)));
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
	private static ReductionResult<FollowState> restartFullRead(FollowState state, long nowMillis) {
		FollowState restarted = state.withCalls(state.calls().withResponse(state.calls().graceUntilMillis(), nowMillis))
			.withFullRead(FollowState.FullRead.start());
		return startCall(restarted, new ArrayList<>());
	}

	private static ReductionResult<FollowState> handlePage(FollowState state, long nowMillis,
			FollowEvent.PageReceived event) {
		List<Effect> effects = new ArrayList<>();
		FollowState updated = recordResponse(state, nowMillis, nowMillis, effects);
		FollowState.FullRead previous = state.fullRead().orElseGet(FollowState.FullRead::start);
		RegistryPage page = event.page();
		SortedMap<String, RegistryItem> items = new TreeMap<>(previous.items());
		page.items().forEach((item) -> items.put(item.key(), item));
		Moment requestedAt = previous.lastKey().isEmpty() ? event.requestedAt() : previous.requestedAt();
		String lastKey = page.items().isEmpty() ? previous.lastKey() : page.items().get(page.items().size() - 1).key();
		RegistryPosition position = (previous.lastKey().isEmpty()
				|| page.position().revision() < previous.position().revision()) ? page.position() : previous.position();
		FollowState.FullRead fullRead = new FollowState.FullRead(items, lastKey, position, requestedAt);
		if (page.hasMore() && !page.items().isEmpty()) {
			return startCall(updated.withFullRead(fullRead), effects);
		}
		FollowState complete = applyFullRead(updated, nowMillis, fullRead, effects)
			.withConfirmation(updated.confirmation().withResponse(fullRead.requestedAt().monotonicMillis()));
		effects.add(new FollowEffect.Publish(complete.view()));
		effects.add(new FollowEffect.Confirm(fullRead.requestedAt()));
		return startCall(complete, effects);
	}

	private static FollowState applyFullRead(FollowState state, long nowMillis, FollowState.FullRead fullRead,
			List<Effect> effects) {
		if (fullRead.position().revision() < state.position().revision()) {
			// a copy of another process is newer than the pages
			return state.withFullReadEnded();
		}
		SortedMap<String, RegistryItem> items = new TreeMap<>();
		fullRead.items().values().forEach((item) -> {
			RegistryItem known = state.items().get(item.key());
			items.put(item.key(), resolveItem(known, item, effects));
		});
		Map<String, Long> graceDeadlines = new HashMap<>();
		state.items().values().forEach((item) -> {
			if (!items.containsKey(item.key()) && mayHaveExpiredInOutage(state, nowMillis, item)) {
				items.put(item.key(), item);
				graceDeadlines.put(item.key(), state.calls().graceUntilMillis());
			}
		});
		return state.withItems(items, fullRead.position(), graceDeadlines);
	}

	private static ReductionResult<FollowState> handleChanges(FollowState state, long nowMillis,
			FollowEvent.ChangesReceived event) {
		List<Effect> effects = new ArrayList<>();
		RegistryPage changes = event.changes();
		long delay = changes.items().isEmpty() ? 0 : state.times().batchDelayMillis();
		FollowState updated = recordResponse(state, nowMillis, nowMillis + delay, effects);
		SortedMap<String, RegistryItem> items = new TreeMap<>(state.items());
		Map<String, Long> graceDeadlines = new HashMap<>(state.graceDeadlines());
		for (RegistryItem change : changes.items()) {
			RegistryItem known = items.get(change.key());
			if (known != null && known.revision() > change.revision()) {
				continue;
			}
			graceDeadlines.remove(change.key());
			if (!change.isRemoved()) {
				items.put(change.key(), resolveItem(known, change, effects));
			}
			else if (known != null && mayHaveExpiredInOutage(updated, nowMillis, known)) {
				graceDeadlines.put(change.key(), updated.calls().graceUntilMillis());
			}
			else {
				items.remove(change.key());
			}
		}
		RegistryPosition position = (changes.position().revision() > state.position().revision()) ? changes.position()
				: state.position();
		FollowState next = updated.withItems(items, position, graceDeadlines)
			.withConfirmation(updated.confirmation().withResponse(event.requestedAt().monotonicMillis()));
		if (!changes.items().isEmpty()) {
			effects.add(new FollowEffect.Publish(next.view()));
		}
		effects.add(new FollowEffect.Confirm(event.requestedAt()));
		return (delay > 0) ? new ReductionResult<>(next, effects) : startCall(next, effects);
	}

	/*
	 * A configuration is replaced neither by an unreadable item nor by a lower version.
	 */
	private static RegistryItem resolveItem(RegistryItem known, RegistryItem item, List<Effect> effects) {
		RegistryValue before = (known != null) ? known.value() : null;
		if (item.value() instanceof RegistryValue.Unreadable unreadable) {
			if (!unreadable.equals(before)) {
				effects.add(new FollowEffect.ReportUnusable(item.key(), unreadable.reason()));
			}
			return (before instanceof RegistryValue.Configuration) ? known : item;
		}
		if (before instanceof RegistryValue.Configuration current
				&& item.value() instanceof RegistryValue.Configuration offered
				&& offered.configuration().version() < current.configuration().version()) {
			effects.add(new FollowEffect.ReportUnusable(item.key(),
					"version " + offered.configuration().version() + " is lower than the version in force"));
			return known;
		}
		return item;
	}

	private static boolean mayHaveExpiredInOutage(FollowState state, long nowMillis, RegistryItem item) {
		return nowMillis < state.calls().graceUntilMillis() && item.value() instanceof RegistryValue.Runner runner
				&& !runner.runner().draining();
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
			return restartFullRead(state, nowMillis);
		}
		FollowState.Calls calls = state.calls();
		double draw = RendezvousHashing.uniform(RendezvousHashing.mix(state.seed() + calls.lastCall()));
		long backoff = state.times().backoffMillis(calls.failures() + 1, draw);
		List<Effect> effects = (calls.failures() == 0) ? List.of(new FollowEffect.ReportUnavailable(event.reason()))
				: List.of();
		return new ReductionResult<>(state.withCalls(calls.withFailure(nowMillis, backoff)), effects);
	}

}
