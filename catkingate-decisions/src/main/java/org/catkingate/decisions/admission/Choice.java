package org.catkingate.decisions.admission;

import java.util.Objects;

import org.catkingate.model.RunnerId;

/**
 * What is decided about a call. Immutable.
 *
 * @since 0.1
 */
public sealed interface Choice {

	/**
	 * Send it.
	 *
	 * @param runner where to
	 * @param predictedMillis the predicted time to the first event, in milliseconds
	 */
	record Send(RunnerId runner, double predictedMillis) implements Choice {

		public Send {
			Objects.requireNonNull(runner, "runner must not be null");
		}

	}

	/**
	 * Refuse it at once.
	 *
	 * @param retryAfterMillis when to come back, in milliseconds
	 * @param predictedMillis the best predicted time to the first event, in milliseconds;
	 * not a number if there is no runner
	 * @param reason why, for the log
	 */
	record Refuse(long retryAfterMillis, double predictedMillis, String reason) implements Choice {

		public Refuse {
			Objects.requireNonNull(reason, "reason must not be null");
		}

	}

}
