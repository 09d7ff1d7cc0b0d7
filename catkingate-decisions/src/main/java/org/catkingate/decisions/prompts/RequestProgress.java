package org.catkingate.decisions.prompts;

/**
 * How far a runner has come with a request.
 *
 * @since 0.1
 */
public enum RequestProgress {

	/** Nothing of a response has arrived. */
	QUEUED,

	/** A response has begun, but it has not gone on for long. */
	STARTED,

	/** The response has gone on for long enough to show that the prompt does no harm. */
	WRITING

}
