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
public record Startup(boolean finished, long startedAtMillis, boolean complete, Set<Long> contacts) {

	public Startup {
		contacts = Set.copyOf(contacts);
	}

	boolean hasAskedAll(Set<Long> answered) {
		return this.complete && answered.containsAll(this.contacts);
	}

	Startup with(boolean all, Set<Long> links) {
		return new Startup(this.finished, this.startedAtMillis, all, links);
	}

	Startup finish() {
		return new Startup(true, this.startedAtMillis, this.complete, this.contacts);
	}

}
