package org.catkingate.model.registry;

/**
 * The kind of calls of a route, which determines whether they may be retried and in which
 * form the response is sent.
 *
 * @since 0.1
 */
public enum CallKind {

	/** May run more than once. */
	IDEMPOTENT,

	/** May run at most once. */
	NON_IDEMPOTENT,

	/** The response is a stream of events. */
	STREAM

}
