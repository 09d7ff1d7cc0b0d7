package org.catkingate.decisions.configuration;

import java.util.Set;

/**
 * The progress of a new process in querying its peers for their versions. Immutable and
 * safe for use by any thread.
 *
 * @param finished whether enough peers have been queried
 * @param startedAtMillis when the process started, in milliseconds
 * @param complete whether a connection to every contact is open
 * @param contacts the numbers of the connections to the contacts
 * @since 0.1
 */
public record StartupProgress(boolean finished, long startedAtMillis, boolean complete, Set<Long> contacts) {

	public StartupProgress {
		contacts = Set.copyOf(contacts);
	}

	boolean hasResponsesFromAll(Set<Long> responded) {
		return this.complete && responded.containsAll(this.contacts);
	}

	StartupProgress withContacts(boolean allConnected, Set<Long> connections) {
		return new StartupProgress(this.finished, this.startedAtMillis, allConnected, connections);
	}

	StartupProgress withFinished() {
		return new StartupProgress(true, this.startedAtMillis, this.complete, this.contacts);
	}

}
