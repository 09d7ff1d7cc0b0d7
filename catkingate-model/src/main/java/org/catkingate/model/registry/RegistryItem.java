package org.catkingate.model.registry;

import java.util.Objects;

/**
 * An item of the registry, or its removal. Immutable and safe for use by any thread.
 *
 * @param key the key
 * @param revision the revision of its last change
 * @param value the parsed content; null if the item has been removed
 * @since 0.1
 */
public record RegistryItem(String key, long revision, RegistryValue value) {

	public RegistryItem {
		Objects.requireNonNull(key, "key must not be null");
	}

	/**
	 * Returns whether this is the removal of an item.
	 * @return {@code true} if the item has been removed
	 */
	public boolean isRemoved() {
		return this.value == null;
	}

}
