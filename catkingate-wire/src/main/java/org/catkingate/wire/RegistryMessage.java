package org.catkingate.wire;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.registry.RegistryPosition;

/**
 * A message by which gateways pass on their copies of the registry.
 *
 * @since 0.1
 */
public sealed interface RegistryMessage extends Message {

	/**
	 * A request for the receiver's copy.
	 *
	 * @param after the position of the sender's copy
	 */
	record CopyRequest(RegistryPosition after) implements RegistryMessage {

	}

	/**
	 * The response to a {@link CopyRequest}.
	 *
	 * @param after the position after which the changes are sent
	 * @param position the position of the copy
	 * @param ageMillis the time since the copy was last confirmed, in milliseconds
	 * @param keys the keys of all items, empty if both positions are equal
	 * @param changes the items that were changed after that position
	 */
	record CopyContent(RegistryPosition after, RegistryPosition position, long ageMillis, List<String> keys,
			List<ChangedItem> changes) implements RegistryMessage {

		public CopyContent {
			if (ageMillis < 0) {
				throw new IllegalArgumentException("ageMillis must not be negative");
			}
			keys = List.copyOf(keys);
			changes = List.copyOf(changes);
		}

	}

	/**
	 * An item of the registry.
	 *
	 * @param key the key
	 * @param revision the revision of its last change
	 * @param content the content as published
	 */
	record ChangedItem(String key, long revision, byte[] content) {

		public ChangedItem {
			Objects.requireNonNull(key, "key must not be null");
			Objects.requireNonNull(content, "content must not be null");
		}

	}

}
