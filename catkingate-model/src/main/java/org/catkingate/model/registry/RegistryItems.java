package org.catkingate.model.registry;

import java.util.List;

/**
 * Items as one answer of a registry gives them. Immutable and safe for use by any thread.
 *
 * @param items the items, in the order of the answer
 * @param more whether further items follow those of a page
 * @param revision the revision that the answer covers
 * @since 0.1
 */
public record RegistryItems(List<RegistryItem> items, boolean more, long revision) {

	public RegistryItems {
		items = List.copyOf(items);
	}

}
