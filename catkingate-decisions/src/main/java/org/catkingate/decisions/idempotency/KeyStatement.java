package org.catkingate.decisions.idempotency;

import java.util.List;
import java.util.Objects;

/**
 * The statement of one agent of a service to another about the views that it has held.
 * All times are durations by the clock of the author, up to the moment of the statement.
 * Immutable and safe for use by any thread.
 *
 * @param author the agent that makes the statement
 * @param runners the number of its runners of the service
 * @param coveredMillis the time that the views cover, in milliseconds
 * @param views the views, oldest first
 * @since 0.1
 */
public record KeyStatement(KeyHome author, int runners, long coveredMillis, List<StatedView> views) {

	public KeyStatement {
		Objects.requireNonNull(author, "author must not be null");
		views = List.copyOf(views);
	}

	/**
	 * A view, identified by its fingerprint. Immutable.
	 *
	 * @param fingerprint the fingerprint
	 * @param endedMillisAgo how long ago it ended, in milliseconds; 0 if it is in force
	 */
	public record StatedView(long fingerprint, long endedMillisAgo) {

	}

}
