package org.catkingate.agent.requests;

import org.catkingate.wire.Traffic;

/**
 * Decides whether a call that may run once only is run, and is told what becomes of it.
 * Called for non-idempotent calls only, by I/O threads; implementations must be safe for
 * use by any thread and must not block.
 *
 * @since 0.1
 */
public interface NonIdempotentCalls {

	/**
	 * Decides about a call, just before its first byte is sent to the runner. Whoever is
	 * told {@link Verdict.Run} sends it.
	 * @param dispatch the call
	 * @return what to do, never null
	 */
	Verdict before(Traffic.Dispatch dispatch);

	/**
	 * The call was let through and then refused before its first byte was sent.
	 * @param dispatch the call
	 */
	void notSent(Traffic.Dispatch dispatch);

	/**
	 * The runner answered in full.
	 * @param dispatch the call
	 * @param answer the whole answer
	 */
	void answered(Traffic.Dispatch dispatch, KeptAnswer answer);

	/**
	 * The call was sent and no whole answer came.
	 * @param dispatch the call
	 */
	void brokenOff(Traffic.Dispatch dispatch);

	/**
	 * Returns an implementation that remembers nothing: every call is run.
	 * @return the implementation, never null
	 */
	static NonIdempotentCalls unguarded() {
		return Unguarded.INSTANCE;
	}

}
