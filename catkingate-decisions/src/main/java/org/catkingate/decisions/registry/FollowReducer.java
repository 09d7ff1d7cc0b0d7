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
	private static final long LAPSE_ABSENCE_MILLIS = 500;

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
			return ticked(state, nowMillis);
		}
		if (event instanceof FollowEvent.RereadDue) {
			return state.reading().isPresent() ? Step.to(state) : readAnew(state, nowMillis);
		}
		if (event instanceof FollowEvent.PageArrived page && isAwaited(state, page.call())) {
			return pageArrived(state, nowMillis, page);
		}
		if (event instanceof FollowEvent.ChangesArrived changes && isAwaited(state, changes.call())) {
			return changesArrived(state, nowMillis, changes);
		}
		if (event instanceof FollowEvent.CallFailed failed && isAwaited(state, failed.call())) {
			return callFailed(state, nowMillis, failed);
		}
		return Step.to(state);
	}

	private static boolean isAwaited(FollowState state, long call) {
		return state.contact().waiting() && state.contact().lastCall() == call;
	}

	private static Step<FollowState> ticked(FollowState state, long nowMillis) {
		FollowState current = withoutExpired(state, nowMillis);
		List<Effect> effects = new ArrayList<>();
		if (current != state) {
			effects.add(new FollowEffect.Publish(current.view()));
		}
		if (!current.contact().waiting() && nowMillis >= current.contact().nextAtMillis()) {
			return call(current, effects);
		}
		return new Step<>(current, effects);
	}

	private static FollowState withoutExpired(FollowState state, long nowMillis) {
		if (state.lapsed().values().stream().noneMatch((until) -> nowMillis >= until)) {
			return state;
		}
		SortedMap<String, RegistryItem> items = new TreeMap<>(state.items());
		Map<String, Long> lapsed = new HashMap<>(state.lapsed());
		lapsed.entrySet().removeIf((entry) -> {
			boolean expired = nowMillis >= entry.getValue();
			if (expired) {
				items.remove(entry.getKey());
			}
			return expired;
		});
		return new FollowState(state.times(), state.seed(), state.contact(), items, state.reading(), state.revision(),
				lapsed);
	}

	private static Step<FollowState> call(FollowState state, List<Effect> effects) {
		FollowState.Contact contact = state.contact().calling();
		Effect call = state.reading()
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
	private static Step<FollowState> readAnew(FollowState state, long nowMillis) {
		FollowState anew = state.with(state.contact().answered(state.contact().graceUntilMillis(), nowMillis))
			.with(FollowState.Reading.begun());
		return call(anew, new ArrayList<>());
	}

	private static Step<FollowState> pageArrived(FollowState state, long nowMillis, FollowEvent.PageArrived event) {
		List<Effect> effects = new ArrayList<>();
		FollowState answered = answered(state, nowMillis, nowMillis, effects);
		FollowState.Reading before = state.reading().orElseGet(FollowState.Reading::begun);
		RegistryItems page = event.page();
		SortedMap<String, RegistryItem> items = new TreeMap<>(before.items());
		page.items().forEach((item) -> items.put(item.key(), item));
		Moment askedAt = before.lastKey().isEmpty() ? event.askedAt() : before.askedAt();
		String lastKey = page.items().isEmpty() ? before.lastKey() : page.items().get(page.items().size() - 1).key();
		FollowState.Reading reading = new FollowState.Reading(items, lastKey,
				Math.min(before.revision(), page.revision()), askedAt);
		if (page.more() && !page.items().isEmpty()) {
			return call(answered.with(reading), effects);
		}
		FollowState whole = adopt(answered, nowMillis, reading, effects);
		effects.add(new FollowEffect.Publish(whole.view()));
		effects.add(new FollowEffect.Confirm(reading.askedAt()));
		return call(whole, effects);
	}

	private static FollowState adopt(FollowState state, long nowMillis, FollowState.Reading reading,
			List<Effect> effects) {
		SortedMap<String, RegistryItem> items = new TreeMap<>();
		reading.items().values().forEach((item) -> {
			RegistryItem known = state.items().get(item.key());
			items.put(item.key(), newest(known, item, effects));
		});
		Map<String, Long> lapsed = new HashMap<>();
		state.items().values().forEach((item) -> {
			if (!items.containsKey(item.key()) && mayHaveLapsed(state, nowMillis, item)) {
				items.put(item.key(), item);
				lapsed.put(item.key(), state.contact().graceUntilMillis());
			}
		});
		return state.watching(items, reading.revision(), lapsed);
	}

	private static Step<FollowState> changesArrived(FollowState state, long nowMillis,
			FollowEvent.ChangesArrived event) {
		List<Effect> effects = new ArrayList<>();
		RegistryItems changes = event.changes();
		long pause = changes.items().isEmpty() ? 0 : state.times().pauseMillis();
		FollowState answered = answered(state, nowMillis, nowMillis + pause, effects);
		SortedMap<String, RegistryItem> items = new TreeMap<>(state.items());
		Map<String, Long> lapsed = new HashMap<>(state.lapsed());
		for (RegistryItem change : changes.items()) {
			RegistryItem known = items.get(change.key());
			if (known != null && known.revision() > change.revision()) {
				continue;
			}
			lapsed.remove(change.key());
			if (!change.isRemoved()) {
				items.put(change.key(), newest(known, change, effects));
			}
			else if (known != null && mayHaveLapsed(answered, nowMillis, known)) {
				lapsed.put(change.key(), answered.contact().graceUntilMillis());
			}
			else {
				items.remove(change.key());
			}
		}
		FollowState next = answered.watching(items, Math.max(state.revision(), changes.revision()), lapsed);
		if (!changes.items().isEmpty()) {
			effects.add(new FollowEffect.Publish(next.view()));
		}
		effects.add(new FollowEffect.Confirm(event.askedAt()));
		return (pause > 0) ? new Step<>(next, effects) : call(next, effects);
	}

	/*
	 * An item that cannot be read does not take the place of a configuration, and neither
	 * does a lower version.
	 */
	private static RegistryItem newest(RegistryItem known, RegistryItem item, List<Effect> effects) {
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

	private static boolean mayHaveLapsed(FollowState state, long nowMillis, RegistryItem item) {
		return nowMillis < state.contact().graceUntilMillis() && item.entry() instanceof RegistryEntry.Runner runner
				&& !runner.runner().draining();
	}

	private static FollowState answered(FollowState state, long nowMillis, long nextAtMillis, List<Effect> effects) {
		FollowState.Contact contact = state.contact();
		long graceUntil = contact.graceUntilMillis();
		if (contact.failures() > 0) {
			long away = nowMillis - contact.lostAtMillis();
			effects.add(new FollowEffect.ContactRegained(away, contact.failures()));
			if (away >= LAPSE_ABSENCE_MILLIS) {
				graceUntil = nowMillis + state.times().lapseGraceMillis();
			}
		}
		return state.with(contact.answered(graceUntil, nextAtMillis));
	}

	private static Step<FollowState> callFailed(FollowState state, long nowMillis, FollowEvent.CallFailed event) {
		if (event.historyGone()) {
			return readAnew(state, nowMillis);
		}
		FollowState.Contact contact = state.contact();
		double draw = Rendezvous.unit(Rendezvous.mix(state.seed() + contact.lastCall()));
		long backoff = state.times().backoffMillis(contact.failures() + 1, draw);
		List<Effect> effects = (contact.failures() == 0) ? List.of(new FollowEffect.ContactLost(event.reason()))
				: List.of();
		return new Step<>(state.with(contact.failed(nowMillis, backoff)), effects);
	}

}
