package org.catkingate.model.registry;

import java.util.Objects;

/**
 * An item of a registry, or its removal. Immutable and safe for use by any thread.
 *
 * @param key the key
 * @param revision the revision of its last change
 * @param entry what it says; null if it has been removed
 * @since 0.1
 */
public record RegistryItem(String key, long revision, RegistryEntry entry) {

	public RegistryItem {
		Objects.requireNonNull(key, "key must not be null");
	}

	/**
	 * Tells whether this is the removal of an item.
	 * @return whether the item is not there any more
	 */
	public boolean isRemoved() {
		return this.entry == null;
	}

}
