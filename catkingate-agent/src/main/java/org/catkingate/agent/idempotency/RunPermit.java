package org.catkingate.agent.idempotency;

import java.util.List;

import org.catkingate.decisions.idempotency.KeptAnswer;

/**
 * The right to run one non-idempotent call once. Its methods are called in the order of
 * events, by one thread at a time; each method may be called by any thread.
 * <p>
 * A started call is not cancelled when its caller leaves: it is read to its end, so that
 * the caller's repeat finds the answer.
 *
 * @since 0.1
 */
public interface RunPermit {

	/**
	 * Asks for the last time, right before the first byte goes to the runner. After true
	 * the call counts as run; after false nothing may be sent, the permit has ended, and
	 * the answer is {@code NOT_RUN}.
	 * @return whether the call may start
	 */
	boolean start();

	/**
	 * The call is given up before {@link #start()}; its key is free again.
	 */
	void notStarted();

	/**
	 * The runner has sent status and headers.
	 * @param status the HTTP status
	 * @param headers the headers that are passed to the caller
	 */
	void head(int status, List<KeptAnswer.Header> headers);

	/**
	 * The runner has sent a piece of the body.
	 * @param bytes the piece, which must not be changed afterwards
	 */
	void data(byte[] bytes);

	/**
	 * The answer is whole.
	 */
	void ended();

	/**
	 * The call broke off after {@link #start()}; whether it took effect is unknown.
	 */
	void failed();

}
