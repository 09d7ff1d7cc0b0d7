package org.catkingate.decisions.idempotency;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

import org.catkingate.decisions.idempotency.ServiceKeyState.ReceivedStatement;
import org.catkingate.decisions.idempotency.Verdict.Reason;

/**
 * An evaluator of whether an agent may vouch for a caller's key. The agent must have been
 * the home of the key since before the earliest possible attempt, according to its own
 * views and to those of enough other agents. Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class VouchingEvaluator {

	/**
	 * The time after which a caller may repeat a call if the cause of its rejection may
	 * end at any moment, in milliseconds.
	 */
	public static final long RETRY_AFTER_MILLIS = 1_000;

	private final VouchingBounds bounds;

	private VouchingEvaluator(VouchingBounds bounds) {
		this.bounds = bounds;
	}

	/**
	 * Creates an instance with the given bounds.
	 * @param bounds the bounds
	 * @return the instance, never null
	 */
	public static VouchingEvaluator with(VouchingBounds bounds) {
		Objects.requireNonNull(bounds, "bounds must not be null");
		return new VouchingEvaluator(bounds);
	}

	/**
	 * Evaluates a key.
	 * @param state the state of the agent
	 * @param scopedKey the key
	 * @param heldMillis how long the agent has held the call, in milliseconds
	 * @param nowMillis the time, in milliseconds of the monotonic clock
	 * @param wallMillis the time, in milliseconds since 1970
	 * @return the verdict, never null
	 */
	public Verdict evaluate(KeyState state, ScopedKey scopedKey, long heldMillis, long nowMillis, long wallMillis) {
		ServiceKeyState serviceState = state.services().get(scopedKey.service());
		if (serviceState == null) {
			return rejectTemporarily(Reason.NOT_SERVED);
		}
		long ageMillis = this.bounds.opaqueAgeMillis(serviceState.repeatWindowMillis()) + heldMillis;
		OptionalLong createdAtMillis = KeyTimestamp.createdAtMillis(scopedKey.key());
		if (createdAtMillis.isPresent()) {
			long keyAgeMillis = wallMillis - createdAtMillis.getAsLong();
			if (keyAgeMillis < -this.bounds.maxClockSkewMillis()) {
				return rejectTemporarily(Reason.KEY_FROM_FUTURE);
			}
			if (keyAgeMillis > ageMillis) {
				return new Verdict(Reason.KEY_EXPIRED, 0);
			}
			// another agent may have accepted the key up to one skew before its
			// timestamp, by a clock that differs from this one by another skew
			ageMillis = keyAgeMillis + 2 * this.bounds.maxClockSkewMillis();
		}
		return evaluate(new Evaluation(state, serviceState, scopedKey, this.bounds.coverMillis(ageMillis), nowMillis));
	}

	private Verdict evaluate(Evaluation evaluation) {
		if (!evaluation.serviceState().history().latest().isHome(evaluation.state().own(), evaluation.scopedKey())) {
			return rejectTemporarily(Reason.NOT_HOME);
		}
		long missingMillis = evaluation.coverMillis()
				- evaluation.serviceState().history().coveredMillis(evaluation.nowMillis());
		if (missingMillis > 0) {
			return new Verdict(Reason.TOO_YOUNG, missingMillis);
		}
		Map<Long, HomeView> viewsByFingerprint = viewsByFingerprint(evaluation.serviceState().history());
		List<KeyStatement.StatedView> own = evaluation.serviceState().history().statedViews(evaluation.nowMillis());
		long movedMillisAgo = movedMillisAgo(evaluation, viewsByFingerprint, own);
		if (movedMillisAgo <= evaluation.coverMillis()) {
			return new Verdict(Reason.MOVED_LATELY, evaluation.coverMillis() - movedMillisAgo + 1);
		}
		if (!isListConfirmed(evaluation)) {
			return rejectTemporarily(Reason.LIST_NOT_CONFIRMED);
		}
		return evaluateAgreement(evaluation, viewsByFingerprint);
	}

	private boolean isListConfirmed(Evaluation evaluation) {
		OptionalLong confirmed = evaluation.state().listConfirmedAtMillis();
		return confirmed.isPresent()
				&& evaluation.nowMillis() - confirmed.getAsLong() <= this.bounds.maxListAgeMillis();
	}

	private Verdict evaluateAgreement(Evaluation evaluation, Map<Long, HomeView> viewsByFingerprint) {
		HomeView view = evaluation.serviceState().history().latest();
		int runners = evaluation.serviceState().ownRunners();
		int agreeing = runners;
		int disagreeing = 0;
		for (KeyHome member : view.members()) {
			if (member.equals(evaluation.state().own())) {
				continue;
			}
			ReceivedStatement received = evaluation.serviceState().statements().get(member);
			runners += (received != null) ? received.statement().runners() : 1;
			if (received != null && agrees(evaluation, viewsByFingerprint, received)) {
				agreeing += received.statement().runners();
			}
			else {
				disagreeing++;
			}
		}
		return agreementVerdict(view.expectedRunners(), runners, agreeing, disagreeing);
	}

	private static Verdict agreementVerdict(int expected, int runners, int agreeing, int disagreeing) {
		if (expected > 0 && runners > expected) {
			return rejectTemporarily(Reason.TOO_MANY_RUNNERS);
		}
		boolean isAgreed = (expected > 0) ? 2 * agreeing > expected : disagreeing == 0;
		return (isAgreed) ? new Verdict(Reason.VOUCHED, 0) : rejectTemporarily(Reason.NOT_AGREED);
	}

	private boolean agrees(Evaluation evaluation, Map<Long, HomeView> viewsByFingerprint, ReceivedStatement received) {
		boolean isFresh = evaluation.nowMillis() - received.requestedAtMillis() <= this.bounds.maxStatementAgeMillis();
		KeyStatement statement = received.statement();
		return isFresh && statement.coveredMillis() >= evaluation.coverMillis()
				&& movedMillisAgo(evaluation, viewsByFingerprint, statement.views()) > evaluation.coverMillis();
	}

	/**
	 * Returns how long ago the last view ended in which another agent was the home.
	 * @param evaluation the evaluation in progress
	 * @param viewsByFingerprint the views of this agent by fingerprint; any other view
	 * counts against the key
	 * @param views the views to examine
	 * @return the duration, in milliseconds
	 */
	private static long movedMillisAgo(Evaluation evaluation, Map<Long, HomeView> viewsByFingerprint,
			List<KeyStatement.StatedView> views) {
		long movedMillisAgo = Long.MAX_VALUE;
		for (KeyStatement.StatedView stated : views) {
			HomeView view = viewsByFingerprint.get(stated.fingerprint());
			if (stated.endedMillisAgo() <= evaluation.coverMillis()
					&& (view == null || !view.isHome(evaluation.state().own(), evaluation.scopedKey()))) {
				movedMillisAgo = Math.min(movedMillisAgo, stated.endedMillisAgo());
			}
		}
		return movedMillisAgo;
	}

	private static Map<Long, HomeView> viewsByFingerprint(ViewHistory history) {
		Map<Long, HomeView> viewsByFingerprint = new HashMap<>();
		history.held().forEach((held) -> viewsByFingerprint.put(held.fingerprint(), held.view()));
		return viewsByFingerprint;
	}

	private static Verdict rejectTemporarily(Reason reason) {
		return new Verdict(reason, RETRY_AFTER_MILLIS);
	}

	private record Evaluation(KeyState state, ServiceKeyState serviceState, ScopedKey scopedKey, long coverMillis,
			long nowMillis) {

	}

}
