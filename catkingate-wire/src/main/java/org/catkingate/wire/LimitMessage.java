package org.catkingate.wire;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.permits.LimitReport;
import org.catkingate.model.prompts.RunnerStart;

/**
 * A message by which gateways keep together to the limits that runners have stated.
 *
 * @since 0.1
 */
public sealed interface LimitMessage extends Message {

	/** The maximum number of permits in a message. */
	int MAX_PERMITS = 1000;

	private static void validate(RunnerStart runner, int count) {
		Objects.requireNonNull(runner, "runner must not be null");
		if (count < 1 || count > MAX_PERMITS) {
			throw new IllegalArgumentException("count must be between 1 and " + MAX_PERMITS);
		}
	}

	/**
	 * Reports on limits.
	 *
	 * @param reports the reports, at most {@link #MAX_REPORTS}
	 */
	record LimitReports(List<LimitReport> reports) implements LimitMessage {

		/** The maximum number of reports in a message. */
		public static final int MAX_REPORTS = 64;

		public LimitReports {
			reports = List.copyOf(reports);
			if (reports.size() > MAX_REPORTS) {
				throw new IllegalArgumentException("a message must not have more than " + MAX_REPORTS + " reports");
			}
		}

	}

	/**
	 * A request for permits.
	 *
	 * @param runner the runner
	 * @param count the number of permits that can be used
	 * @param sentAtMillis when it was sent, by the sender's monotonic clock in
	 * milliseconds; the grant repeats it
	 */
	record PermitRequest(RunnerStart runner, int count, long sentAtMillis) implements LimitMessage {

		public PermitRequest {
			validate(runner, count);
		}

	}

	/**
	 * Granted permits.
	 *
	 * @param runner the runner
	 * @param count the number of permits
	 * @param requestSentAtMillis the time in the request
	 * @param gateways the number of gateways that the sender knows
	 */
	record PermitGrant(RunnerStart runner, int count, long requestSentAtMillis, int gateways) implements LimitMessage {

		public PermitGrant {
			validate(runner, count);
			if (gateways < 1) {
				throw new IllegalArgumentException("gateways must be positive");
			}
		}

	}

	/**
	 * Permits that were granted and not used.
	 *
	 * @param runner the runner
	 * @param count the number of permits
	 */
	record PermitReturn(RunnerStart runner, int count) implements LimitMessage {

		public PermitReturn {
			validate(runner, count);
		}

	}

}
