package org.catkingate.decisions.permits;

import org.catkingate.decisions.Effect;
import org.catkingate.model.InstanceId;
import org.catkingate.model.permits.LimitReport;
import org.catkingate.model.prompts.RunnerStart;

/**
 * A message that {@link RunnerLimits} wants to be sent. Immutable.
 *
 * @since 0.1
 */
public sealed interface PermitEffect extends Effect {

	/**
	 * Requests permits from an issuer.
	 *
	 * @param issuer the gateway to ask
	 * @param runner the runner
	 * @param count the number of permits that can be used
	 * @param sentAtMillis when it is sent, in monotonic milliseconds of this gateway
	 */
	record RequestPermits(InstanceId issuer, RunnerStart runner, int count, long sentAtMillis) implements PermitEffect {

	}

	/**
	 * Grants permits to a gateway.
	 *
	 * @param gateway the gateway that has requested them
	 * @param runner the runner
	 * @param count the number of permits
	 * @param requestSentAtMillis the time in the request, by the other gateway's clock
	 * @param gateways the number of gateways that the issuer knows
	 */
	record GrantPermits(InstanceId gateway, RunnerStart runner, int count, long requestSentAtMillis,
			int gateways) implements PermitEffect {

	}

	/**
	 * Returns permits that were not used.
	 *
	 * @param issuer the gateway that has granted them
	 * @param runner the runner
	 * @param count the number of permits
	 */
	record ReturnPermits(InstanceId issuer, RunnerStart runner, int count) implements PermitEffect {

	}

	/**
	 * Reports a changed limit to all gateways.
	 *
	 * @param report the report
	 */
	record ReportLimit(LimitReport report) implements PermitEffect {

	}

}
