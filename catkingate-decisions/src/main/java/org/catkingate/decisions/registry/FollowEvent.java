package org.catkingate.decisions.registry;

import java.util.Objects;

import org.catkingate.decisions.Event;
import org.catkingate.model.registry.RegistryItems;

/**
 * What happens while a registry is followed.
 *
 * @since 0.1
 */
public sealed interface FollowEvent extends Event {

	/**
	 * A page of the whole has arrived.
	 *
	 * @param call the call that it answers
	 * @param requestedAt when the call was sent
	 * @param page the items
	 */
	record PageArrived(long call, Moment requestedAt, RegistryItems page) implements FollowEvent {

		public PageArrived {
			Objects.requireNonNull(requestedAt, "askedAt must not be null");
			Objects.requireNonNull(page, "page must not be null");
		}

	}

	/**
	 * A watch has ended, with changes or without.
	 *
	 * @param call the call that it answers
	 * @param requestedAt when the call was sent
	 * @param changes the changes
	 */
	record ChangesArrived(long call, Moment requestedAt, RegistryItems changes) implements FollowEvent {

		public ChangesArrived {
			Objects.requireNonNull(requestedAt, "askedAt must not be null");
			Objects.requireNonNull(changes, "changes must not be null");
		}

	}

	/**
	 * A call gave no usable answer.
	 *
	 * @param call the call
	 * @param historyGone whether the registry has forgotten the changes asked for
	 * @param reason what went wrong, for the log
	 */
	record CallFailed(long call, boolean historyGone, String reason) implements FollowEvent {

	}

	/**
	 * What is known may be read anew.
	 */
	record RereadDue() implements FollowEvent {

	}

	/**
	 * Time has passed.
	 */
	record Ticked() implements FollowEvent {

	}

}
