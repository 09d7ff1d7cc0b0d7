package org.catkingate.gateway;

import java.util.HashSet;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.xnio.XnioExecutor;

import org.catkingate.decisions.admission.AdmissionDecision;
import org.catkingate.decisions.admission.AdmissionPolicies;
import org.catkingate.decisions.admission.CallDescription;
import org.catkingate.decisions.admission.CallRequirements;
import org.catkingate.decisions.competition.CompetingLevels;
import org.catkingate.decisions.competition.ServiceCompetition;
import org.catkingate.decisions.competition.WaitingQueue;
import org.catkingate.decisions.memory.MemoryNeed;
import org.catkingate.decisions.sending.CallScope;
import org.catkingate.model.RunnerId;
import org.catkingate.model.registry.EngineProfile;

/**
 * The admission of one call to the runners of its service. The call waits here while the
 * decision says so, and is decided on again. Used by the traffic thread only.
 */
final class CallAdmission implements WaitingCalls.Call {

	private final AdmittedRequest admitted;

	private final SharedCallState sharedState;

	private final XnioExecutor executor;

	private final RequestLog log;

	private final BooleanSupplier quarantined;

	private final Listener listener;

	private final Set<RunnerId> triedRunners = new HashSet<>();

	private final ServiceCompetition.Competitor competitor;

	private final RequestCost cost;

	/** The place in the queue, null if the call does not wait. */
	private WaitingQueue.Entry<WaitingCalls.Call> waiting;

	private AdmissionDecision.Wait.Cause waitedFor;

	private long waitingSinceMillis;

	private boolean late;

	private boolean sent;

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
		this.competitor = new ServiceCompetition.Competitor(admitted.urgency(), admitted.route().name(),
				admitted.account(),
				admitted.head().promptTokens() + sharedState.runners()
					.engine(admitted.service())
					.map(EngineProfile::meanResponseTokens)
					.orElse(1.0));
		this.cost = sharedState.estimateCost(admitted);
	}

	/**
	 * Records the arrival of the call, so that it counts among those that compete.
	 */
	void recordArrival() {
		this.sharedState.competitions().recordArrival(this.admitted.service(), this.competitor, now());
	}

	/**
	 * Decides on the call, among the runners to which it has not been sent yet, after
	 * those that wait already.
	 */
	void decide() {
		this.sharedState.waitingCalls().check(this.admitted.service());
		AdmissionDecision decision = decideOn(requirements());
		if (!(decision instanceof AdmissionDecision.Send)) {
			recordUnplaced();
		}
		follow(decision);
	}

	private void recordUnplaced() {
		this.sharedState.competitions().recordUnplaced(this.admitted.service(), this.competitor, now());
	}

	private AdmissionDecision decideAfterWaiting() {
		return decideOn(this.late ? requirements().afterWaiting() : requirements());
	}

	private AdmissionDecision decideOn(CallRequirements requirements) {
		return this.sharedState.decide(describe(requirements), this.triedRunners);
	}

	private void follow(AdmissionDecision decision) {
		if (decision instanceof AdmissionDecision.Send send) {
			this.triedRunners.add(send.runner());
			if (!this.sent) {
				this.sent = true;
				this.sharedState.competitions().recordSend(this.admitted.service(), this.competitor, this.late, now());
			}
			this.listener.onAdmitted(send);
		}
		else if (decision instanceof AdmissionDecision.Reject reject) {
			this.log.addRejection(reject);
			this.listener.onRejected(reject);
		}
		else if (decision instanceof AdmissionDecision.Wait wait) {
			startWaitingOrReject(wait);
		}
	}

	private void startWaitingOrReject(AdmissionDecision.Wait wait) {
		if (this.waitedFor != null) {
			reject(wait, wait.otherwise());
			return;
		}
		long now = now();
		boolean followsRate = wait.cause() == AdmissionDecision.Wait.Cause.PLACE;
		long onTimeMillis = wait.onTimeMillis();
		if (followsRate) {
			WaitingQueue.WaitPlan plan = this.sharedState.waitingCalls()
				.queue(this.admitted.service())
				.plan(this.competitor, onTimeMillis, wait.maxMillis(),
						this.sharedState.competitions().of(this.admitted.service(), now), now);
			if (!plan.allowed()) {
				reject(wait, AdmissionPolicies.whileQueueIsFull(wait.otherwise(), plan.aheadMillis()));
				return;
			}
			onTimeMillis = plan.onTimeMillis();
		}
		WaitingQueue.Entry<WaitingCalls.Call> entry = createEntry(wait, onTimeMillis, followsRate, now);
		if (!this.sharedState.waitingCalls().add(this.admitted.service(), wait.maxCalls(), entry, this.executor)) {
			reject(wait, wait.otherwise());
			return;
		}
		this.waiting = entry;
		this.waitedFor = wait.cause();
		this.waitingSinceMillis = now;
		this.log.addWait(wait);
	}

	private WaitingQueue.Entry<WaitingCalls.Call> createEntry(AdmissionDecision.Wait wait, long onTimeMillis,
			boolean followsRate, long nowMillis) {
		// calls that wait for permits at a service with one urgency level are sent in the
		// order of arrival
		boolean compete = wait.cause() != AdmissionDecision.Wait.Cause.PERMIT
				|| this.sharedState.competitions().levels(this.admitted.service()).differ();
		long usedMillis = this.admitted.route().timeoutMillis()
				- (this.admitted.deadlineMillis() - this.admitted.arrivedAtMillis());
		return new WaitingQueue.Entry<>(this, this.admitted.urgency(), compete ? this.admitted.account() : null,
				this.admitted.residency(),
				compete ? this.admitted.arrivedAtMillis() - usedMillis : this.admitted.arrivedAtMillis(),
				nowMillis + onTimeMillis, nowMillis + wait.maxMillis(), followsRate);
	}

	private void reject(AdmissionDecision.Wait wait, AdmissionDecision.Reject rejection) {
		if (wait.cause() == AdmissionDecision.Wait.Cause.PERMIT) {
			this.sharedState.metrics().countLimited();
		}
		follow(rejection);
	}

	@Override
	public boolean trySend(boolean lateNow) {
		boolean loading = this.waitedFor == AdmissionDecision.Wait.Cause.LOADING;
		if (loading && !this.sharedState.competitions().of(this.admitted.service(), now()).canRelease(now())) {
			return false;
		}
		this.late = lateNow && this.waitedFor != AdmissionDecision.Wait.Cause.PERMIT;
		AdmissionDecision decision = decideAfterWaiting();
		if (!(decision instanceof AdmissionDecision.Send)) {
			return false;
		}
		if (loading) {
			this.sharedState.recordRelease(this.admitted.service());
		}
		endWait(this.late ? "sent-late" : "sent");
		follow(decision);
		return true;
	}

	@Override
	public void giveUp() {
		this.late = this.waitedFor != AdmissionDecision.Wait.Cause.PERMIT;
		AdmissionDecision decision = decideAfterWaiting();
		endWait((decision instanceof AdmissionDecision.Send) ? "sent-late" : "rejected");
		follow(decision);
	}

	private void endWait(String outcome) {
		WaitingQueue.Entry<WaitingCalls.Call> entry = this.waiting;
		this.waiting = null;
		this.sharedState.waitingCalls().remove(this.admitted.service(), entry);
		this.sharedState.metrics().countWait(this.waitedFor.name(), outcome);
		this.log.addWaitEnd(this.waitedFor, now() - this.waitingSinceMillis, outcome);
	}

	private long now() {
		return this.sharedState.clock().millis();
	}

	private CallRequirements requirements() {
		long now = now();
		CompetingLevels competition = this.sharedState.competitions()
			.competitionOf(this.admitted.service(), this.competitor, now);
		return new CallRequirements(this.admitted.head().promptTokens(), this.admitted.route().goalMillis(),
				this.sharedState.shutdownState().deadlineMillis(this.admitted.deadlineMillis()) - now,
				this.sharedState.correctionFactor(this.admitted.service()), now - this.admitted.arrivedAtMillis(),
				this.admitted.route().patienceMillis() - (now - this.admitted.arrivedAtMillis()), competition);
	}

	private CallDescription describe(CallRequirements requirements) {
		return new CallDescription(scope(), this.admitted.urgency(), this.admitted.account(), requirements,
				this.cost.expected());
	}

	/**
	 * Returns the cost of the call.
	 * @return the cost, never null
	 */
	RequestCost cost() {
		return this.cost;
	}

	/**
	 * Describes what the choice of a runner depends on beside its distance.
	 * @param work the work of the runner
	 * @return the expected cost and the work, empty if the choice does not depend on them
	 */
	String describeInputs(RunnerWork work) {
		return this.cost.expected()
			.map((expected) -> "expected=" + expected.length() + " work=["
					+ work.describe(this.sharedState.clock().millis()) + "]")
			.orElse("");
	}

	/**
	 * Returns what restricts at this moment where the call may be sent.
	 * @return the scope, never null
	 */
	CallScope scope() {
		return new CallScope(this.admitted.service(), this.sharedState.runners().models(this.admitted.service()),
				this.sharedState.runners().residencies().of(this.admitted), this.quarantined.getAsBoolean(),
				MemoryNeed.of(this.admitted.head().promptTokens(), this.admitted.head().maxResponseTokens(),
						this.sharedState.runners().engine(this.admitted.service())));
	}

	/**
	 * Returns whether the service has a runner to which the call has not been sent.
	 * @return whether another runner may serve the call, now or later
	 */
	boolean hasUntriedRunner() {
		return this.sharedState.runners().count(this.admitted.service(), this.triedRunners) > 0;
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
	 * Returns the rank of the call in the queue of a runner.
	 * @return the rank, empty if all calls to the service have the same urgency
	 */
	OptionalInt priority() {
		return this.sharedState.competitions()
			.levels(this.admitted.service())
			.priority(this.admitted.urgency(), this.late);
	}

	/**
	 * Ends the admission: if the call waits, it leaves the queue.
	 */
	void end() {
		if (this.waiting != null) {
			endWait("left");
		}
		this.cost.end();
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
