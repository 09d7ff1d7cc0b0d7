package org.catkingate.decisions.idempotency;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

import org.catkingate.decisions.idempotency.ServiceKeys.ReceivedStatement;
import org.catkingate.decisions.idempotency.Verdict.Reason;

/**
 * Decides whether an agent may vouch for a caller's key. The agent must have been the
 * home of the key for longer than any earlier attempt can be in the past, according to
 * its own views and to those of enough other agents. Stateless and safe for use by any
 * thread.
 *
 * @since 0.1
 */
public final class Vouching {

	/** When to retry if the cause may end at any moment, in milliseconds. */
	public static final long RETRY_MILLIS = 1_000;

	private final VouchingTimes times;

	private Vouching(VouchingTimes times) {
		this.times = times;
	}

	/**
	 * Creates an instance with the given bounds.
	 * @param times the bounds
	 * @return the instance, never null
	 */
	public static Vouching with(VouchingTimes times) {
		Objects.requireNonNull(times, "times must not be null");
		return new Vouching(times);
	}

	/**
	 * Evaluates a key.
	 * @param state the state of the agent
	 * @param scope the key
	 * @param heldMillis how long the agent has held the call, in milliseconds
	 * @param nowMillis the time, in milliseconds of the monotonic clock
	 * @param wallMillis the time, in milliseconds since 1970
	 * @return the verdict, never null
	 */
	public Verdict judge(KeyState state, KeyScope scope, long heldMillis, long nowMillis, long wallMillis) {
		ServiceKeys keys = state.services().get(scope.service());
		if (keys == null) {
			return rejected(Reason.NOT_SERVED);
		}
		long ageMillis = this.times.opaqueAgeMillis(keys.repeatWindowMillis()) + heldMillis;
		OptionalLong born = KeyTimestamp.createdAtMillis(scope.key());
		if (born.isPresent()) {
			long sinceBirth = wallMillis - born.getAsLong();
			if (sinceBirth < -this.times.skewMillis()) {
				return rejected(Reason.KEY_FROM_FUTURE);
			}
			if (sinceBirth > ageMillis) {
				return new Verdict(Reason.KEY_EXPIRED, 0);
			}
			ageMillis = sinceBirth + 2 * this.times.skewMillis();
		}
		return judge(new Evaluation(state, keys, scope, this.times.coverMillis(ageMillis), nowMillis));
	}

	private Verdict judge(Evaluation question) {
		if (!question.keys().history().latest().isHome(question.state().own(), question.scope())) {
			return rejected(Reason.NOT_HOME);
		}
		long missing = question.coverMillis() - question.keys().history().coveredMillis(question.nowMillis());
		if (missing > 0) {
			return new Verdict(Reason.TOO_YOUNG, missing);
		}
		Map<Long, HomeView> known = viewsByFingerprint(question.keys().history());
		List<KeyStatement.StatedView> own = question.keys().history().statedViews(question.nowMillis());
		long movedMillisAgo = movedMillisAgo(question, known, own);
		if (movedMillisAgo <= question.coverMillis()) {
			return new Verdict(Reason.MOVED_LATELY, question.coverMillis() - movedMillisAgo + 1);
		}
		if (!isListConfirmed(question)) {
			return rejected(Reason.LIST_NOT_CONFIRMED);
		}
		return agreement(question, known);
	}

	private boolean isListConfirmed(Evaluation question) {
		OptionalLong confirmed = question.state().listConfirmedAtMillis();
		return confirmed.isPresent() && question.nowMillis() - confirmed.getAsLong() <= this.times.listMillis();
	}

	private Verdict agreement(Evaluation question, Map<Long, HomeView> known) {
		HomeView view = question.keys().history().latest();
		int runners = question.keys().ownRunners();
		int agreeing = runners;
		int silent = 0;
		for (KeyHome member : view.members()) {
			if (member.equals(question.state().own())) {
				continue;
			}
			ReceivedStatement heard = question.keys().heard().get(member);
			runners += (heard != null) ? heard.statement().runners() : 1;
			if (heard != null && agrees(question, known, heard)) {
				agreeing += heard.statement().runners();
			}
			else {
				silent++;
			}
		}
		return agreement(view.expectedRunners(), runners, agreeing, silent);
	}

	private static Verdict agreement(int expected, int runners, int agreeing, int silent) {
		if (expected > 0 && runners > expected) {
			return rejected(Reason.TOO_MANY_RUNNERS);
		}
		boolean agreed = (expected > 0) ? 2 * agreeing > expected : silent == 0;
		return (agreed) ? new Verdict(Reason.VOUCHED, 0) : rejected(Reason.NOT_AGREED);
	}

	private boolean agrees(Evaluation question, Map<Long, HomeView> known, ReceivedStatement heard) {
		boolean isFresh = question.nowMillis() - heard.askedAtMillis() <= this.times.statementMillis();
		KeyStatement statement = heard.statement();
		return isFresh && statement.coveredMillis() >= question.coverMillis()
				&& movedMillisAgo(question, known, statement.views()) > question.coverMillis();
	}

	/**
	 * Returns how long ago the last view ended in which another agent was the home.
	 * @param question the evaluation in progress
	 * @param known the views of this agent by fingerprint; any other view counts against
	 * the key
	 * @param views the views to examine
	 * @return the duration, in milliseconds
	 */
	private static long movedMillisAgo(Evaluation question, Map<Long, HomeView> known,
			List<KeyStatement.StatedView> views) {
		long latest = Long.MAX_VALUE;
		for (KeyStatement.StatedView stated : views) {
			HomeView view = known.get(stated.fingerprint());
			if (stated.endedMillisAgo() <= question.coverMillis()
					&& (view == null || !view.isHome(question.state().own(), question.scope()))) {
				latest = Math.min(latest, stated.endedMillisAgo());
			}
		}
		return latest;
	}

	private static Map<Long, HomeView> viewsByFingerprint(ViewHistory history) {
		Map<Long, HomeView> known = new HashMap<>();
		history.held().forEach((held) -> known.put(held.fingerprint(), held.view()));
		return known;
	}

	private static Verdict rejected(Reason reason) {
		return new Verdict(reason, RETRY_MILLIS);
	}

	private record Evaluation(KeyState state, ServiceKeys keys, KeyScope scope, long coverMillis, long nowMillis) {

	}

}
