package org.catkingate.decisions.registry;

import java.util.List;
import java.util.Set;

import org.catkingate.model.registry.RegistryItem;

/**
 * The difference between the copies of the registry that two processes hold. Immutable
 * and safe for use by any thread.
 *
 * @param afterRevision the revision of the receiver's copy
 * @param revision the revision of the sender's copy
 * @param keys the keys of all items, empty if the revisions are equal
 * @param changes the items that were changed after the receiver's revision
 * @since 0.1
 */
public record RegistryDelta(long afterRevision, long revision, Set<String> keys, List<RegistryItem> changes) {

	public RegistryDelta {
		keys = Set.copyOf(keys);
		changes = List.copyOf(changes);
	}

}
