package org.catkingate.decisions.configuration;

import java.util.Set;

/**
 * How far a new process has come with asking its peers. Immutable and safe for use by any
 * thread.
 *
 * @param finished whether it has asked enough
 * @param startedAtMillis when it started, in milliseconds
 * @param complete whether a link to every contact is open
 * @param contacts the links to them
 * @since 0.1
 */
public record StartupProgress(boolean finished, long startedAtMillis, boolean complete, Set<Long> contacts) {

	public StartupProgress {
		contacts = Set.copyOf(contacts);
	}

	boolean hasResponsesFromAll(Set<Long> answered) {
		return this.complete && answered.containsAll(this.contacts);
	}

	StartupProgress withContacts(boolean all, Set<Long> links) {
		return new StartupProgress(this.finished, this.startedAtMillis, all, links);
	}

	StartupProgress withFinished() {
		return new StartupProgress(true, this.startedAtMillis, this.complete, this.contacts);
	}

}
