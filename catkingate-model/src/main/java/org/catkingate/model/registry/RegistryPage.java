package org.catkingate.model.registry;

import java.util.List;
import java.util.Objects;

/**
 * The items in one response of the registry. Immutable and safe for use by any thread.
 *
 * @param items the items, in the order of the response
 * @param hasMore whether there are further pages of items
 * @param position the position of the registry that the response reflects
 * @since 0.1
 */
public record RegistryPage(List<RegistryItem> items, boolean hasMore, RegistryPosition position) {

	public RegistryPage {
		items = List.copyOf(items);
		Objects.requireNonNull(position, "position must not be null");
	}

	/**
	 * Creates the content of a response of a registry that does not report its era.
	 * @param items the items, in the order of the response
	 * @param hasMore whether there are further pages of items
	 * @param revision the registry revision that the response reflects
	 */
	public RegistryPage(List<RegistryItem> items, boolean hasMore, long revision) {
		this(items, hasMore, new RegistryPosition(RegistryPosition.UNKNOWN_ERA, revision));
	}

}
