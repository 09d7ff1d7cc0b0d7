package org.catkingate.decisions.registry;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.catkingate.decisions.Effect;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryPosition;
import org.catkingate.model.registry.RegistryValue;

/**
 * The items of one state and what is received next, merged item by item. Configurations
 * and declared versions never go back: where the registry holds a lower one, the known
 * value is retained under the registry's revision, so that the next change replaces it.
 * Used within one reduction; not thread-safe.
 */
final class ItemMerge {

	/**
	 * The revision of an item that is in force although the registry does not hold it. It
	 * is lower than any other, so that each change replaces the item.
	 */
	static final long NOT_IN_REGISTRY = 0;

	private final FollowState state;

	private final List<Effect> effects;

	private final SortedMap<String, RegistryItem> items;

	private final Set<String> retained;

	private final Map<String, Long> graceDeadlines;

	private ItemMerge(FollowState state, List<Effect> effects, SortedMap<String, RegistryItem> items,
			Map<String, Long> graceDeadlines) {
		this.state = state;
		this.effects = effects;
		this.items = items;
		this.retained = new HashSet<>(state.retained());
		this.graceDeadlines = graceDeadlines;
	}

	/**
	 * Creates a merge that begins with the known items.
	 * @param state the state
	 * @param effects receives reports of unusable items
	 * @return the merge, never null
	 */
	static ItemMerge ofChanges(FollowState state, List<Effect> effects) {
		return new ItemMerge(state, effects, new TreeMap<>(state.items()), new HashMap<>(state.graceDeadlines()));
	}

	/**
	 * Merges the known items with the whole content of the registry.
	 * @param state the state
	 * @param nowMillis the time now
	 * @param content all items of the registry
	 * @param position the position of the content
	 * @param effects receives reports of unusable items
	 * @return the merge, never null
	 */
	static ItemMerge withContent(FollowState state, long nowMillis, Collection<RegistryItem> content,
			RegistryPosition position, List<Effect> effects) {
		boolean restored = position.isOfLaterEraThan(state.position());
		ItemMerge merge = new ItemMerge(state, effects, new TreeMap<>(), new HashMap<>());
		content.forEach((item) -> merge.put(state.items().get(item.key()), item, restored));
		for (RegistryItem known : state.items().values()) {
			if (!merge.items.containsKey(known.key())) {
				merge.keepMissing(known, nowMillis, restored);
			}
		}
		return merge;
	}

	/**
	 * Adds an item that is newer than the known one.
	 * @param known the known item, null if there is none
	 * @param item the item
	 * @param restored whether the item may be from a copy that is older than the known
	 * one
	 */
	void put(RegistryItem known, RegistryItem item, boolean restored) {
		this.graceDeadlines.remove(item.key());
		if (known != null && staysInForce(known.value(), item.value(), restored)) {
			retain(known, item.revision());
		}
		else if (isVersioned(item.value()) && item.revision() == NOT_IN_REGISTRY) {
			retain(item, NOT_IN_REGISTRY);
		}
		else {
			this.items.put(item.key(), item);
			this.retained.remove(item.key());
		}
		report(known, item);
	}

	/**
	 * Adds an item of another process that the registry itself does not hold, if it takes
	 * precedence over the known one.
	 * @param item the item
	 */
	void putIfHigher(RegistryItem item) {
		RegistryItem known = this.items.get(item.key());
		if (isVersioned(item.value()) && (known == null || staysInForce(item.value(), known.value(), false)
				|| isRetainedElsewhere(item, known))) {
			retain(item, (known != null) ? known.revision() : NOT_IN_REGISTRY);
		}
	}

	/*
	 * The sender may have seen the registry fall back after this process did.
	 */
	private static boolean isRetainedElsewhere(RegistryItem item, RegistryItem known) {
		return item.revision() == NOT_IN_REGISTRY && item.value().equals(known.value());
	}

	/**
	 * Removes an item that the registry does not hold, unless it may come back.
	 * @param known the known item
	 * @param nowMillis the time now
	 * @param restored whether the registry has lost changes
	 */
	void keepMissing(RegistryItem known, long nowMillis, boolean restored) {
		if (isVersioned(known.value()) && (restored || this.retained.contains(known.key()))) {
			retain(known, NOT_IN_REGISTRY);
		}
		else if (mayHaveExpired(this.state, nowMillis, known)
				|| (restored && known.value() instanceof RegistryValue.Evacuation)) {
			this.items.put(known.key(), new RegistryItem(known.key(), restored ? NOT_IN_REGISTRY : known.revision(),
					known.value(), known.content()));
			this.graceDeadlines.put(known.key(), this.state.calls().graceUntilMillis());
		}
		else if (known.value() instanceof RegistryValue.Evacuation
				&& this.state.graceDeadlines().containsKey(known.key())) {
			// the restored registry lacks it, and so do copies and other reads of it
			this.items.put(known.key(), known);
			this.graceDeadlines.put(known.key(), this.state.graceDeadlines().get(known.key()));
		}
		else {
			remove(known.key());
		}
	}

	void remove(String key) {
		this.items.remove(key);
		this.retained.remove(key);
		this.graceDeadlines.remove(key);
	}

	void keepUntil(String key, long deadlineMillis) {
		this.graceDeadlines.put(key, deadlineMillis);
	}

	RegistryItem item(String key) {
		return this.items.get(key);
	}

	/**
	 * Returns the merged items.
	 * @return the items, the retained ones and the deadlines of missing ones
	 */
	FollowState.Items result() {
		this.retained.retainAll(this.items.keySet());
		return new FollowState.Items(this.items, this.retained, this.graceDeadlines);
	}

	private void retain(RegistryItem kept, long revision) {
		this.items.put(kept.key(), new RegistryItem(kept.key(), revision, kept.value(), kept.content()));
		this.retained.add(kept.key());
	}

	private void report(RegistryItem known, RegistryItem item) {
		RegistryValue before = (known != null) ? known.value() : null;
		if (item.value() instanceof RegistryValue.Unreadable unreadable) {
			if (!unreadable.equals(before)) {
				this.effects.add(new FollowEffect.ReportUnusable(item.key(), unreadable.reason()));
			}
		}
		else if (before instanceof RegistryValue.Configuration current
				&& item.value() instanceof RegistryValue.Configuration offered
				&& offered.configuration().version() < current.configuration().version()) {
			this.effects.add(new FollowEffect.ReportUnusable(item.key(),
					"version " + offered.configuration().version() + " is lower than the version in force"));
		}
	}

	static boolean mayHaveExpired(FollowState state, long nowMillis, RegistryItem item) {
		return nowMillis < state.calls().graceUntilMillis() && item.value() instanceof RegistryValue.Runner runner
				&& !runner.runner().draining();
	}

	static boolean isVersioned(RegistryValue value) {
		return value instanceof RegistryValue.Configuration || value instanceof RegistryValue.DeclaredVersion;
	}

	private static boolean staysInForce(RegistryValue known, RegistryValue offered, boolean restored) {
		if (known instanceof RegistryValue.Configuration current) {
			return offered instanceof RegistryValue.Unreadable || offered instanceof RegistryValue.Configuration other
					&& other.configuration().version() < current.configuration().version();
		}
		if (known instanceof RegistryValue.DeclaredVersion current) {
			return offered instanceof RegistryValue.Unreadable || offered instanceof RegistryValue.DeclaredVersion other
					&& other.model().equals(current.model()) && other.version() < current.version();
		}
		return restored && known instanceof RegistryValue.Runner current
				&& offered instanceof RegistryValue.Runner other && current.runner().draining()
				&& current.runner().startedAtEpochMillis() == other.runner().startedAtEpochMillis();
	}

}
