package org.catkingate.model.registry;

import java.util.Objects;

/**
 * An item of the registry, or its removal. Immutable and safe for use by any thread.
 *
 * @param key the key
 * @param revision the revision of its last change
 * @param value the parsed content; null if the item has been removed
 * @param content the content as published, by which other processes receive the item;
 * null if the item has been removed or must not be passed on. Must not be modified
 * @since 0.1
 */
public record RegistryItem(String key, long revision, RegistryValue value, byte[] content) {

	public RegistryItem {
		Objects.requireNonNull(key, "key must not be null");
	}

	/**
	 * Creates an item that is not passed on to other processes.
	 * @param key the key
	 * @param revision the revision of its last change
	 * @param value the parsed content; null if the item has been removed
	 */
	public RegistryItem(String key, long revision, RegistryValue value) {
		this(key, revision, value, null);
	}

	/**
	 * Returns whether this is the removal of an item.
	 * @return {@code true} if the item has been removed
	 */
	public boolean isRemoved() {
		return this.value == null;
	}

}
