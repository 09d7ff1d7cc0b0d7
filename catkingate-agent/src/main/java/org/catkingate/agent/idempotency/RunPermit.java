package org.catkingate.agent.idempotency;

import java.util.List;

import org.catkingate.decisions.idempotency.StoredResponse;

/**
 * Permit to run one non-idempotent call once. Its methods are called in the order of
 * events, by one thread at a time; each method may be called by any thread.
 * <p>
 * A started call is not cancelled when its caller disconnects: its response is read to
 * the end, so that a repeat of the call receives it.
 *
 * @since 0.1
 */
public interface RunPermit {

	/**
	 * Checks once more whether the call may run, immediately before the first byte is
	 * sent to the runner. After true the call counts as run; after false nothing may be
	 * sent, the permit has ended, and the response is {@code NOT_RUN}.
	 * @return whether the call may start
	 */
	boolean tryStart();

	/**
	 * Ends the permit of a call that is abandoned before {@link #tryStart()}; its key can
	 * be used again.
	 */
	void abandon();

	/**
	 * Records the status and the headers that the runner has sent.
	 * @param status the HTTP status
	 * @param headers the headers that are passed to the caller
	 */
	void recordHead(int status, List<StoredResponse.Header> headers);

	/**
	 * Records a part of the body that the runner has sent.
	 * @param bytes the bytes, which must not be changed afterwards
	 */
	void recordBody(byte[] bytes);

	/**
	 * Ends the permit of a call whose response is complete.
	 */
	void complete();

	/**
	 * Ends the permit of a call that failed after {@link #tryStart()}; whether it took
	 * effect is unknown.
	 */
	void fail();

}
