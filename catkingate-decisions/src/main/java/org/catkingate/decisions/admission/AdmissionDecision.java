package org.catkingate.decisions.admission;

import java.util.Objects;

import org.catkingate.model.RunnerId;

/**
 * The decision on a call: send it to a runner or reject it. Immutable.
 *
 * @since 0.1
 */
public sealed interface AdmissionDecision {

	/**
	 * The call is sent to a runner.
	 *
	 * @param runner the runner to send the call to
	 * @param predictedMillis the predicted time to the first event, in milliseconds
	 */
	record Send(RunnerId runner, double predictedMillis) implements AdmissionDecision {

		public Send {
			Objects.requireNonNull(runner, "runner must not be null");
		}

	}

	/**
	 * The call waits, since a runner is expected to be able to serve it soon.
	 *
	 * @param cause what it waits for
	 * @param onTimeMillis the time for which it can still be sent so that its response is
	 * on time, in milliseconds; 0 if it will be late
	 * @param maxMillis the time after which it must be rejected, in milliseconds
	 * @param maxCalls the number of calls to the service that may wait at the same time
	 * @param otherwise the rejection if it cannot wait, or has waited in vain
	 */
	record Wait(Cause cause, long onTimeMillis, long maxMillis, int maxCalls,
			Reject otherwise) implements AdmissionDecision {

		public Wait {
			Objects.requireNonNull(cause, "cause must not be null");
			Objects.requireNonNull(otherwise, "otherwise must not be null");
		}

		/**
		 * What a call waits for.
		 */
		public enum Cause {

			/** Runners that load weights. */
			LOADING,

			/** A place at a runner that more urgent calls leave free. */
			PLACE,

			/** A permit to send a request to a runner that has stated a limit. */
			PERMIT

		}

	}

	/**
	 * The call is rejected immediately.
	 *
	 * @param retryAfterMillis the delay after which the caller should retry, in
	 * milliseconds
	 * @param predictedMillis the lowest predicted time to the first event, in
	 * milliseconds; {@link Double#NaN} if no runner can serve the call
	 * @param reason the reason, which is sent to the caller
	 */
	record Reject(long retryAfterMillis, double predictedMillis, String reason) implements AdmissionDecision {

		public Reject {
			Objects.requireNonNull(reason, "reason must not be null");
		}

	}

}
