package org.catkingate.decisions.registry;

import java.util.Objects;

import org.catkingate.decisions.Event;
import org.catkingate.model.registry.RegistryPage;

/**
 * The events of following a registry.
 *
 * @since 0.1
 */
public sealed interface FollowEvent extends Event {

	/**
	 * A page of a full read was received.
	 *
	 * @param call the call that this is the response to
	 * @param requestedAt the time at which the call was sent
	 * @param page the items of the page
	 */
	record PageReceived(long call, Moment requestedAt, RegistryPage page) implements FollowEvent {

		public PageReceived {
			Objects.requireNonNull(requestedAt, "requestedAt must not be null");
			Objects.requireNonNull(page, "page must not be null");
		}

	}

	/**
	 * A watch has ended, with or without changes.
	 *
	 * @param call the call that this is the response to
	 * @param requestedAt the time at which the call was sent
	 * @param changes the changes
	 */
	record ChangesReceived(long call, Moment requestedAt, RegistryPage changes) implements FollowEvent {

		public ChangesReceived {
			Objects.requireNonNull(requestedAt, "requestedAt must not be null");
			Objects.requireNonNull(changes, "changes must not be null");
		}

	}

	/**
	 * Another process has passed on how its copy of the registry differs.
	 *
	 * @param confirmedAt the time at which that copy was up to date
	 * @param delta the difference
	 */
	record CopyReceived(Moment confirmedAt, RegistryDelta delta) implements FollowEvent {

		public CopyReceived {
			Objects.requireNonNull(confirmedAt, "confirmedAt must not be null");
			Objects.requireNonNull(delta, "delta must not be null");
		}

	}

	/**
	 * A call failed or returned an unusable response.
	 *
	 * @param call the call
	 * @param historyGone whether the registry no longer keeps the requested changes
	 * @param reason the reason, for the log
	 */
	record CallFailed(long call, boolean historyGone, String reason) implements FollowEvent {

	}

	/**
	 * A new full read is due.
	 */
	record RereadDue() implements FollowEvent {

	}

	/**
	 * The time has advanced.
	 */
	record Ticked() implements FollowEvent {

	}

}
