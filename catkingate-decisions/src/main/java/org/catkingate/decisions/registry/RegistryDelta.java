package org.catkingate.decisions.registry;

import java.util.List;
import java.util.Set;

import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryPosition;

/**
 * The difference between the copies of the registry that two processes hold. Immutable
 * and safe for use by any thread.
 *
 * @param after the position of the receiver's copy
 * @param position the position of the sender's copy
 * @param keys the keys of all items, empty if the positions are equal
 * @param changes the items that were changed after the receiver's position
 * @since 0.1
 */
public record RegistryDelta(RegistryPosition after, RegistryPosition position, Set<String> keys,
		List<RegistryItem> changes) {

	public RegistryDelta {
		keys = Set.copyOf(keys);
		changes = List.copyOf(changes);
	}

}
