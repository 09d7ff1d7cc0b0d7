package org.catkingate.decisions.registry;

import org.catkingate.decisions.Effect;

/**
 * What following a registry asks for.
 *
 * @since 0.1
 */
public sealed interface FollowEffect extends Effect {

	/**
	 * Ask for a page.
	 *
	 * @param call identifies the call
	 * @param afterKey the key after which the page begins, empty for the first
	 */
	record ReadPage(long call, String afterKey) implements FollowEffect {

	}

	/**
	 * Ask for changes.
	 *
	 * @param call identifies the call
	 * @param afterRevision the revision that is known
	 * @param waitMillis how long the registry may wait for a change, in milliseconds
	 * @param versionsOnly whether only declared versions matter
	 */
	record Watch(long call, long afterRevision, long waitMillis, boolean versionsOnly) implements FollowEffect {

	}

	/**
	 * Show what is believed now.
	 *
	 * @param view the view
	 */
	record Publish(RegistryView view) implements FollowEffect {

	}

	/**
	 * What was shown last is known to have been the newest at a moment.
	 *
	 * @param at the moment
	 */
	record Confirm(Moment at) implements FollowEffect {

	}

	/**
	 * The registry gives no answers any more.
	 *
	 * @param reason what went wrong
	 */
	record ContactLost(String reason) implements FollowEffect {

	}

	/**
	 * The registry answers again.
	 *
	 * @param awayMillis how long it gave no answer, in milliseconds
	 * @param failures how many calls failed meanwhile
	 */
	record ContactRegained(long awayMillis, int failures) implements FollowEffect {

	}

	/**
	 * An item cannot be used.
	 *
	 * @param key its key
	 * @param reason why
	 */
	record ReportUnreadable(String key, String reason) implements FollowEffect {

	}

}
