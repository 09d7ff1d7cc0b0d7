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
import org.catkingate.decisions.Rendezvous;
import org.catkingate.decisions.Step;
import org.catkingate.model.registry.RegistryEntry;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryItems;

/**
 * Follows a registry: reads it whole, page by page, then watches its changes, and reads
 * anew when the history is gone. At most one call is in progress, failed calls are
 * repeated at growing intervals, and a configuration never goes back to a lower version.
 * Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class FollowReducer implements Reducer<FollowState> {

	/** An absence in which an entry can lapse, in milliseconds. */
	private static final long EXPIRY_OUTAGE_MILLIS = 500;

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
	public Step<FollowState> reduce(FollowState state, long nowMillis, Event event) {
		if (event instanceof FollowEvent.Ticked) {
			return handleTick(state, nowMillis);
		}
		if (event instanceof FollowEvent.RereadDue) {
			return state.fullRead().isPresent() ? Step.to(state) : restartFullRead(state, nowMillis);
		}
		if (event instanceof FollowEvent.PageArrived page && isAwaited(state, page.call())) {
			return handlePage(state, nowMillis, page);
		}
		if (event instanceof FollowEvent.ChangesArrived changes && isAwaited(state, changes.call())) {
			return handleChanges(state, nowMillis, changes);
		}
		if (event instanceof FollowEvent.CallFailed failed && isAwaited(state, failed.call())) {
			return handleFailure(state, nowMillis, failed);
		}
		return Step.to(state);
	}

	private static boolean isAwaited(FollowState state, long call) {
		return state.calls().waiting() && state.calls().lastCall() == call;
	}

	private static Step<FollowState> handleTick(FollowState state, long nowMillis) {
		FollowState current = removeItemsPastGrace(state, nowMillis);
		List<Effect> effects = new ArrayList<>();
		if (current != state) {
			effects.add(new FollowEffect.Publish(current.view()));
		}
		if (!current.calls().waiting() && nowMillis >= current.calls().nextCallAtMillis()) {
			return startCall(current, effects);
		}
		return new Step<>(current, effects);
	}

	private static FollowState removeItemsPastGrace(FollowState state, long nowMillis) {
		if (state.graceDeadlines().values().stream().noneMatch((until) -> nowMillis >= until)) {
			return state;
		}
		SortedMap<String, RegistryItem> items = new TreeMap<>(state.items());
		Map<String, Long> lapsed = new HashMap<>(state.graceDeadlines());
		lapsed.entrySet().removeIf((entry) -> {
			boolean expired = nowMillis >= entry.getValue();
			if (expired) {
				items.remove(entry.getKey());
			}
			return expired;
		});
		return new FollowState(state.times(), state.seed(), state.calls(), items, state.fullRead(), state.revision(),
				lapsed);
	}

	private static Step<FollowState> startCall(FollowState state, List<Effect> effects) {
		FollowState.Calls contact = state.calls().withCallStarted();
		Effect call = state.fullRead()
			.<Effect>map((reading) -> new FollowEffect.ReadPage(contact.lastCall(), reading.lastKey()))
			.orElseGet(() -> new FollowEffect.Watch(contact.lastCall(), state.revision(), state.times().watchMillis(),
					watchesVersionsOnly(state)));
		effects.add(call);
		return new Step<>(state.with(contact), effects);
	}

	private static boolean watchesVersionsOnly(FollowState state) {
		return state.times().versionsOnly() && state.items()
			.values()
			.stream()
			.anyMatch((item) -> item.entry() instanceof RegistryEntry.Configuration);
	}

	/*
	 * The answer that is awaited no longer counts.
	 */
	private static Step<FollowState> restartFullRead(FollowState state, long nowMillis) {
		FollowState anew = state.with(state.calls().withResponse(state.calls().graceUntilMillis(), nowMillis))
			.with(FollowState.FullRead.start());
		return startCall(anew, new ArrayList<>());
	}

	private static Step<FollowState> handlePage(FollowState state, long nowMillis, FollowEvent.PageArrived event) {
		List<Effect> effects = new ArrayList<>();
		FollowState answered = recordResponse(state, nowMillis, nowMillis, effects);
		FollowState.FullRead before = state.fullRead().orElseGet(FollowState.FullRead::start);
		RegistryItems page = event.page();
		SortedMap<String, RegistryItem> items = new TreeMap<>(before.items());
		page.items().forEach((item) -> items.put(item.key(), item));
		Moment askedAt = before.lastKey().isEmpty() ? event.requestedAt() : before.requestedAt();
		String lastKey = page.items().isEmpty() ? before.lastKey() : page.items().get(page.items().size() - 1).key();
		FollowState.FullRead reading = new FollowState.FullRead(items, lastKey,
				Math.min(before.revision(), page.revision()), askedAt);
		if (page.more() && !page.items().isEmpty()) {
			return startCall(answered.with(reading), effects);
		}
		FollowState whole = applyFullRead(answered, nowMillis, reading, effects);
		effects.add(new FollowEffect.Publish(whole.view()));
		effects.add(new FollowEffect.Confirm(reading.requestedAt()));
		return startCall(whole, effects);
	}

	private static FollowState applyFullRead(FollowState state, long nowMillis, FollowState.FullRead reading,
			List<Effect> effects) {
		SortedMap<String, RegistryItem> items = new TreeMap<>();
		reading.items().values().forEach((item) -> {
			RegistryItem known = state.items().get(item.key());
			items.put(item.key(), resolveItem(known, item, effects));
		});
		Map<String, Long> lapsed = new HashMap<>();
		state.items().values().forEach((item) -> {
			if (!items.containsKey(item.key()) && mayHaveExpiredInOutage(state, nowMillis, item)) {
				items.put(item.key(), item);
				lapsed.put(item.key(), state.calls().graceUntilMillis());
			}
		});
		return state.withItems(items, reading.revision(), lapsed);
	}

	private static Step<FollowState> handleChanges(FollowState state, long nowMillis,
			FollowEvent.ChangesArrived event) {
		List<Effect> effects = new ArrayList<>();
		RegistryItems changes = event.changes();
		long pause = changes.items().isEmpty() ? 0 : state.times().batchDelayMillis();
		FollowState answered = recordResponse(state, nowMillis, nowMillis + pause, effects);
		SortedMap<String, RegistryItem> items = new TreeMap<>(state.items());
		Map<String, Long> lapsed = new HashMap<>(state.graceDeadlines());
		for (RegistryItem change : changes.items()) {
			RegistryItem known = items.get(change.key());
			if (known != null && known.revision() > change.revision()) {
				continue;
			}
			lapsed.remove(change.key());
			if (!change.isRemoved()) {
				items.put(change.key(), resolveItem(known, change, effects));
			}
			else if (known != null && mayHaveExpiredInOutage(answered, nowMillis, known)) {
				lapsed.put(change.key(), answered.calls().graceUntilMillis());
			}
			else {
				items.remove(change.key());
			}
		}
		FollowState next = answered.withItems(items, Math.max(state.revision(), changes.revision()), lapsed);
		if (!changes.items().isEmpty()) {
			effects.add(new FollowEffect.Publish(next.view()));
		}
		effects.add(new FollowEffect.Confirm(event.requestedAt()));
		return (pause > 0) ? new Step<>(next, effects) : startCall(next, effects);
	}

	/*
	 * An item that cannot be read does not take the place of a configuration, and neither
	 * does a lower version.
	 */
	private static RegistryItem resolveItem(RegistryItem known, RegistryItem item, List<Effect> effects) {
		RegistryEntry before = (known != null) ? known.entry() : null;
		if (item.entry() instanceof RegistryEntry.Unreadable unreadable) {
			if (!unreadable.equals(before)) {
				effects.add(new FollowEffect.ReportUnreadable(item.key(), unreadable.reason()));
			}
			return (before instanceof RegistryEntry.Configuration) ? known : item;
		}
		if (before instanceof RegistryEntry.Configuration old
				&& item.entry() instanceof RegistryEntry.Configuration offered
				&& offered.configuration().version() < old.configuration().version()) {
			effects.add(new FollowEffect.ReportUnreadable(item.key(),
					"version " + offered.configuration().version() + " is lower than the one in force"));
			return known;
		}
		return item;
	}

	private static boolean mayHaveExpiredInOutage(FollowState state, long nowMillis, RegistryItem item) {
		return nowMillis < state.calls().graceUntilMillis() && item.entry() instanceof RegistryEntry.Runner runner
				&& !runner.runner().draining();
	}

	private static FollowState recordResponse(FollowState state, long nowMillis, long nextAtMillis,
			List<Effect> effects) {
		FollowState.Calls contact = state.calls();
		long graceUntil = contact.graceUntilMillis();
		if (contact.failures() > 0) {
			long away = nowMillis - contact.firstFailureAtMillis();
			effects.add(new FollowEffect.ContactRegained(away, contact.failures()));
			if (away >= EXPIRY_OUTAGE_MILLIS) {
				graceUntil = nowMillis + state.times().expiryGraceMillis();
			}
		}
		return state.with(contact.withResponse(graceUntil, nextAtMillis));
	}

	private static Step<FollowState> handleFailure(FollowState state, long nowMillis, FollowEvent.CallFailed event) {
		if (event.historyGone()) {
			return restartFullRead(state, nowMillis);
		}
		FollowState.Calls contact = state.calls();
		double draw = Rendezvous.unit(Rendezvous.mix(state.seed() + contact.lastCall()));
		long backoff = state.times().backoffMillis(contact.failures() + 1, draw);
		List<Effect> effects = (contact.failures() == 0) ? List.of(new FollowEffect.ContactLost(event.reason()))
				: List.of();
		return new Step<>(state.with(contact.withFailure(nowMillis, backoff)), effects);
	}

}
