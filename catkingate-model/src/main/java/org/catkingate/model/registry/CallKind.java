package org.catkingate.model.registry;

/**
 * How the calls of a route are answered and repeated.
 *
 * @since 0.1
 */
public enum CallKind {

	/** May run more than once. */
	IDEMPOTENT,

	/** May run at most once. */
	NON_IDEMPOTENT,

	/** Answered by a stream of events. */
	STREAM

}
