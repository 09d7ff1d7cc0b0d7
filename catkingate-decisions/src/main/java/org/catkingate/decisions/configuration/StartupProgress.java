package org.catkingate.decisions.configuration;

import java.util.Set;

/**
 * The progress of a new process in querying its peers for their versions. Immutable and
 * safe for use by any thread.
 *
 * @param finished whether enough peers have been queried
 * @param startedAtMillis when the process started, in milliseconds
 * @param allContactsConnected whether a connection to every contact is open
 * @param contactConnections the numbers of the connections to the contacts
 * @since 0.1
 */
public record StartupProgress(boolean finished, long startedAtMillis, boolean allContactsConnected,
		Set<Long> contactConnections) {

	public StartupProgress {
		contactConnections = Set.copyOf(contactConnections);
	}

	boolean hasResponsesFromAll(Set<Long> responded) {
		return this.allContactsConnected && responded.containsAll(this.contactConnections);
	}

	StartupProgress withContacts(boolean allConnected, Set<Long> connections) {
		return new StartupProgress(this.finished, this.startedAtMillis, allConnected, connections);
	}

	StartupProgress withFinished() {
		return new StartupProgress(true, this.startedAtMillis, this.allContactsConnected, this.contactConnections);
	}

}
