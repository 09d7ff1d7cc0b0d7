package org.catkingate.model.registry;

import java.util.List;

/**
 * The items in one response of the registry. Immutable and safe for use by any thread.
 *
 * @param items the items, in the order of the response
 * @param hasMore whether there are further pages of items
 * @param revision the registry revision that the response reflects
 * @since 0.1
 */
public record RegistryPage(List<RegistryItem> items, boolean hasMore, long revision) {

	public RegistryPage {
		items = List.copyOf(items);
	}

}
