package org.catkingate.decisions.idempotency;

import java.util.List;
import java.util.Objects;

/**
 * What one agent of a service tells another of the views that it has held. All times are
 * spans by the clock of the agent that states it, up to the moment of the statement.
 * Immutable and safe for use by any thread.
 *
 * @param speaker the agent that states it
 * @param runners how many runners of the service it has
 * @param coveredMillis how far back the views reach, in milliseconds
 * @param views the views, oldest first
 * @since 0.1
 */
public record KeyStatement(KeyHome speaker, int runners, long coveredMillis, List<StatedView> views) {

	public KeyStatement {
		Objects.requireNonNull(speaker, "speaker must not be null");
		views = List.copyOf(views);
	}

	/**
	 * A view by its fingerprint. Immutable.
	 *
	 * @param fingerprint the fingerprint
	 * @param endedMillisAgo how long ago it ended, in milliseconds, 0 if it is in force
	 */
	public record StatedView(long fingerprint, long endedMillisAgo) {

	}

}
