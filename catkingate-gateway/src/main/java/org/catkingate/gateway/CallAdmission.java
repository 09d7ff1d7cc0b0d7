package org.catkingate.gateway;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.xnio.XnioExecutor;

import org.catkingate.decisions.admission.AdmissionDecision;
import org.catkingate.decisions.admission.CallDescription;
import org.catkingate.decisions.admission.CallRequirements;
import org.catkingate.decisions.memory.MemoryNeed;
import org.catkingate.decisions.sending.CallScope;
import org.catkingate.model.RunnerId;

/**
 * The admission of one call to the runners of its service. The call waits here while the
 * decision says so, and is decided on again. Used by the traffic thread only.
 */
final class CallAdmission {

	private final AdmittedRequest admitted;

	private final SharedCallState sharedState;

	private final XnioExecutor executor;

	private final RequestLog log;

	private final BooleanSupplier quarantined;

	private final Listener listener;

	private final Set<RunnerId> triedRunners = new HashSet<>();

	private boolean ended;

	/** The time until which the call waits for a runner, 0 if it has not waited. */
	private long waitUntilMillis;

	private AdmissionDecision.Wait.Cause waitingFor;

	/**
	 * Creates the admission of a call that has not been sent anywhere.
	 * @param admitted the call
	 * @param sharedState the state that all calls share
	 * @param executor runs the decisions on waiting calls
	 * @param log collects the decisions
	 * @param quarantined returns whether the call is in quarantine at this moment
	 * @param listener is notified of the decisions
	 */
	CallAdmission(AdmittedRequest admitted, SharedCallState sharedState, XnioExecutor executor, RequestLog log,
			BooleanSupplier quarantined, Listener listener) {
		this.admitted = admitted;
		this.sharedState = sharedState;
		this.executor = executor;
		this.log = log;
		this.quarantined = quarantined;
		this.listener = listener;
	}

	/**
	 * Decides on the call, among the runners to which it has not been sent yet.
	 */
	void decide() {
		follow(this.sharedState.decide(describe(requirements()), this.triedRunners));
	}

	private void follow(AdmissionDecision decision) {
		if (decision instanceof AdmissionDecision.Send send) {
			this.triedRunners.add(send.runner());
			this.listener.onAdmitted(send);
		}
		else if (decision instanceof AdmissionDecision.Reject reject) {
			this.log.addRejection(reject);
			this.listener.onRejected(reject);
		}
		else if (decision instanceof AdmissionDecision.Wait wait && !startWaiting(wait)) {
			if (wait.cause() == AdmissionDecision.Wait.Cause.PERMIT) {
				this.sharedState.metrics().countLimited();
			}
			follow(wait.otherwise());
		}
	}

	private boolean startWaiting(AdmissionDecision.Wait wait) {
		if (this.waitUntilMillis != 0 || !this.sharedState.waitingCalls()
			.add(this.admitted.service(), wait.maxCalls(), this::tryToEndWaiting, this.executor)) {
			return false;
		}
		this.waitingFor = wait.cause();
		this.waitUntilMillis = this.sharedState.clock().millis() + wait.maxMillis();
		this.log.addWait(wait);
		return true;
	}

	private boolean tryToEndWaiting() {
		if (this.ended) {
			return true;
		}
		CallRequirements requirements = (this.waitingFor == AdmissionDecision.Wait.Cause.LOADING)
				? requirements().afterWaiting() : requirements();
		AdmissionDecision decision = this.sharedState.decide(describe(requirements), this.triedRunners);
		if (!(decision instanceof AdmissionDecision.Send) && this.sharedState.clock().millis() < this.waitUntilMillis) {
			return false;
		}
		follow(decision);
		return true;
	}

	private CallRequirements requirements() {
		return new CallRequirements(this.admitted.head().promptTokens(), this.admitted.route().goalMillis(),
				this.admitted.deadlineMillis() - this.sharedState.clock().millis(),
				this.sharedState.correctionFactor(this.admitted.service()));
	}

	private CallDescription describe(CallRequirements requirements) {
		return new CallDescription(scope(), this.admitted.urgency(), this.admitted.account(), requirements);
	}

	/**
	 * Returns what restricts at this moment where the call may be sent.
	 * @return the scope, never null
	 */
	CallScope scope() {
		return new CallScope(this.admitted.service(), this.sharedState.runners().models(this.admitted.service()),
				this.admitted.residency(), this.quarantined.getAsBoolean(),
				MemoryNeed.of(this.admitted.head().promptTokens(), this.admitted.head().maxResponseTokens(),
						this.sharedState.runners().engine(this.admitted.service())));
	}

	/**
	 * Returns the delay after which a new request would find a place.
	 * @return the delay in milliseconds, 0 if it would find one now
	 */
	long retryAfterMillis() {
		AdmissionDecision decision = this.sharedState.decide(describe(requirements()), Set.of());
		if (decision instanceof AdmissionDecision.Wait wait) {
			return wait.otherwise().retryAfterMillis();
		}
		return (decision instanceof AdmissionDecision.Reject reject) ? reject.retryAfterMillis() : 0;
	}

	/**
	 * Ends the admission: if the call waits, it is not decided on again.
	 */
	void end() {
		this.ended = true;
	}

	/**
	 * A listener for decisions on a call.
	 */
	interface Listener {

		/**
		 * Called when the call is to be sent to a runner.
		 * @param send the decision
		 */
		void onAdmitted(AdmissionDecision.Send send);

		/**
		 * Called when the call is rejected.
		 * @param reject the decision
		 */
		void onRejected(AdmissionDecision.Reject reject);

	}

}
