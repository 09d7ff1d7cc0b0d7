package org.catkingate.decisions.registry;

import org.catkingate.decisions.Effect;
import org.catkingate.model.registry.RegistryPosition;

/**
 * The effects of following a registry.
 *
 * @since 0.1
 */
public sealed interface FollowEffect extends Effect {

	/**
	 * An instruction to request one page of a full read.
	 *
	 * @param call identifies the call
	 * @param afterKey the key after which the page begins, empty for the first
	 */
	record ReadPage(long call, String afterKey) implements FollowEffect {

	}

	/**
	 * An instruction to request the changes after a revision.
	 *
	 * @param call identifies the call
	 * @param afterRevision the last known revision
	 * @param waitMillis the maximum time for which the registry waits for a change, in
	 * milliseconds
	 * @param versionsOnly whether to watch declared versions only
	 */
	record Watch(long call, long afterRevision, long waitMillis, boolean versionsOnly) implements FollowEffect {

	}

	/**
	 * An instruction to request the copy of another process, since the registry has not
	 * confirmed this one for longer than usual.
	 *
	 * @param after the position of this process's copy
	 */
	record RequestCopy(RegistryPosition after) implements FollowEffect {

	}

	/**
	 * An instruction to report that copies of other processes confirm the view while the
	 * registry does not respond.
	 *
	 * @param position the position of the copy
	 */
	record ReportCopyUsed(RegistryPosition position) implements FollowEffect {

	}

	/**
	 * An instruction to report that the registry was restored from a copy.
	 *
	 * @param before the last position known of the earlier era
	 * @param after the first position known of the new era
	 * @param byCopy whether another process has passed on the new era
	 * @param retained the number of items that stay in force although the registry holds
	 * a lower version or none
	 * @param missing the number of runners that the registry lacks and that are kept for
	 * the grace period
	 */
	record ReportRestored(RegistryPosition before, RegistryPosition after, boolean byCopy, int retained,
			int missing) implements FollowEffect {

	}

	/**
	 * An instruction to publish the current view.
	 *
	 * @param view the view
	 */
	record Publish(RegistryView view) implements FollowEffect {

	}

	/**
	 * An instruction to confirm that the last published view was up to date at a moment.
	 *
	 * @param at the moment
	 */
	record Confirm(Moment at) implements FollowEffect {

	}

	/**
	 * An instruction to report that the registry no longer responds.
	 *
	 * @param reason the reason of the first failure
	 */
	record ReportUnavailable(String reason) implements FollowEffect {

	}

	/**
	 * An instruction to report that the registry responds again.
	 *
	 * @param outageMillis the time since the first failed call, in milliseconds
	 * @param failures the number of calls that failed in that time
	 */
	record ReportAvailable(long outageMillis, int failures) implements FollowEffect {

	}

	/**
	 * An instruction to report an item that cannot be used.
	 *
	 * @param key the key of the item
	 * @param reason why the item cannot be used
	 */
	record ReportUnusable(String key, String reason) implements FollowEffect {

	}

}
