package org.catkingate.decisions.idempotency;

import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.model.AccountName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Vouching} at the limits of its bounds.
 */
class VouchingTests {

	private static final VouchingTimes BOUNDS = VouchingTimes.ordinary();

	private static final long REPEAT_WINDOW_MILLIS = 60_000;

	private static final long OPAQUE_AGE_MILLIS = BOUNDS.opaqueAgeMillis(REPEAT_WINDOW_MILLIS);

	private static final ServiceName SERVICE = new ServiceName("catalogue-api");

	private static final KeyHome A = home("a");

	private static final KeyHome B = home("b");

	private static final KeyHome C = home("c");

	private static final KeyScope KEY = new KeyScope(new AccountName("bar"), SERVICE, "k");

	private final KeyReducer reducer = KeyReducer.with(BOUNDS);

	private final Vouching vouching = Vouching.with(BOUNDS);

	private static KeyHome home(String name) {
		return new KeyHome(new InstanceId(name), "10.0.0.1", name.charAt(0));
	}

	private KeyState observe(KeyState state, long atMillis, int expected, KeyHome... members) {
		ServiceView view = new ServiceView(SERVICE, REPEAT_WINDOW_MILLIS, 1,
				HomeView.of(expected, Arrays.asList(members)));
		return this.reducer.reduce(state, atMillis, new KeyEvent.ServicesSeen(List.of(view))).state();
	}

	private KeyState confirmList(KeyState state, long atMillis) {
		return this.reducer.reduce(state, atMillis, new KeyEvent.ListConfirmed(atMillis)).state();
	}

	private Verdict evaluate(KeyState state, String key, long atMillis, long wallMillis) {
		return this.vouching.judge(state, new KeyScope(KEY.account(), SERVICE, key), 0, atMillis, wallMillis);
	}

	private boolean vouches(KeyState state, long atMillis) {
		return evaluate(state, KEY.key(), atMillis, 0).vouched();
	}

	/**
	 * Returns the first time at which an agent vouches that has become the only agent of
	 * the service.
	 */
	private long firstVouchMillisAfter(long changeMillis) {
		KeyState state = observe(KeyState.starting(B), changeMillis, 0, B);
		Verdict verdict = evaluate(confirmList(state, changeMillis), KEY.key(), changeMillis, 0);
		long first = changeMillis + verdict.retryAfterMillis();
		assertThat(vouches(confirmList(state, first - 1), first - 1)).isFalse();
		assertThat(vouches(confirmList(state, first), first)).isTrue();
		return first;
	}

	@Nested
	class AReplacementUnderAnotherName {

		private static final long CHANGE = 1_000_000;

		@Test
		void waitsUntilNoRetryOfACallAdmittedByItsPredecessorCanArrive() {
			long lastRead = CHANGE + BOUNDS.listLagMillis();
			KeyState predecessor = confirmList(observe(KeyState.starting(A), 0, 0, A), lastRead);
			long lastVouch = lastRead + BOUNDS.listMillis();
			assertThat(vouches(predecessor, lastVouch)).isTrue();
			assertThat(vouches(predecessor, lastVouch + 1)).isFalse();
			assertThat(firstVouchMillisAfter(CHANGE) - lastVouch).isGreaterThan(OPAQUE_AGE_MILLIS);
		}

	}

	@Nested
	class AnAgentListedAtAnotherAddress {

		private static final long LATER = 10_000_000;

		private final KeyState agent = observe(KeyState.starting(new KeyHome(A.instance(), "127.0.0.1", 7100)), 0, 0,
				A);

		@Test
		void isNotTheHomeOfKeysSinceAReplacementMayBeThere() {
			assertThat(evaluate(confirmList(this.agent, LATER), "k", LATER, 0).reason())
				.isEqualTo(Verdict.Reason.NOT_HOME);
		}

		@Test
		void isTheHomeOnceItHasReachedItselfThere() {
			KeyEvent met = new KeyEvent.MetItself(A);
			KeyState known = VouchingTests.this.reducer.reduce(this.agent, LATER, met).state();
			assertThat(vouches(confirmList(known, LATER), LATER)).isTrue();
		}

	}

	@Nested
	class AnAgentThatAgrees {

		@Test
		void isNotCountedForTwoHomesWithinTheRepeatWindow() {
			KeyHome former = HomeView.of(3, List.of(A, B, C)).home(KEY).orElseThrow();
			KeyHome witness = (former.equals(A)) ? B : A;
			KeyState state = observe(KeyState.starting(former), 0, 3, A, B, C);
			long changed = 1_000_000;
			state = confirmList(statement(state, observe(KeyState.starting(witness), 0, 3, A, B, C), changed), changed);
			long lastVouch = changed + BOUNDS.statementMillis();
			assertThat(vouches(state, lastVouch)).isTrue();
			assertThat(vouches(state, lastVouch + 1)).isFalse();
			assertThat(changed + BOUNDS.coverMillis(OPAQUE_AGE_MILLIS) - lastVouch).isGreaterThan(OPAQUE_AGE_MILLIS);
		}

		private KeyState statement(KeyState listener, KeyState speaker, long atMillis) {
			KeyStatement statement = speaker.services().get(SERVICE).statement(speaker.own(), atMillis);
			KeyEvent stated = new KeyEvent.Stated(speaker.own().instance(), SERVICE, atMillis, statement);
			return VouchingTests.this.reducer.reduce(listener, atMillis, stated).state();
		}

	}

	@Nested
	class ACallThatWaited {

		@Test
		void ageIncludesTheWaitingTime() {
			KeyState state = confirmList(observe(KeyState.starting(A), 0, 0, A), BOUNDS.coverMillis(OPAQUE_AGE_MILLIS));
			long now = BOUNDS.coverMillis(OPAQUE_AGE_MILLIS);
			assertThat(VouchingTests.this.vouching.judge(state, KEY, 0, now, 0).vouched()).isTrue();
			assertThat(VouchingTests.this.vouching.judge(state, KEY, 1, now, 0).vouched()).isFalse();
		}

	}

	@Nested
	class AKeyWithATimestamp {

		private static final long BORN = 0x0190_0000_0000L;

		private static final String TIMED = "01900000-0000-7000-8000-000000000000";

		private final long lead = BOUNDS.coverMillis(2 * BOUNDS.skewMillis());

		private final KeyState young = confirmList(observe(KeyState.starting(A), 0, 0, A), this.lead);

		@Test
		void isVouchedForByARecentlyStartedAgentIfItIsNewer() {
			assertThat(evaluate(this.young, TIMED, this.lead, BORN).vouched()).isTrue();
			assertThat(evaluate(this.young, TIMED, this.lead, BORN + 1).reason()).isEqualTo(Verdict.Reason.TOO_YOUNG);
		}

		@Test
		void isRejectedPermanentlyOnceItIsOlderThanTheRepeatWindow() {
			KeyState old = confirmList(observe(KeyState.starting(A), 0, 0, A), 1_000_000);
			Verdict verdict = evaluate(old, TIMED, 1_000_000, BORN + OPAQUE_AGE_MILLIS + 1);
			assertThat(verdict).isEqualTo(new Verdict(Verdict.Reason.KEY_EXPIRED, 0));
		}

		@Test
		void isRejectedIfItIsFromTheFuture() {
			assertThat(evaluate(this.young, TIMED, this.lead, BORN - BOUNDS.skewMillis() - 1).reason())
				.isEqualTo(Verdict.Reason.KEY_FROM_FUTURE);
		}

	}

	@Nested
	class AnExtendedRepeatWindow {

		@Test
		void appliesOnlyFromWhenKeysWereRetainedForIt() {
			KeyState state = observe(KeyState.starting(A), 0, 0, A);
			ServiceView wider = new ServiceView(SERVICE, 2 * REPEAT_WINDOW_MILLIS, 1, HomeView.of(0, List.of(A)));
			long now = 10_000_000;
			state = VouchingTests.this.reducer.reduce(state, now, new KeyEvent.ServicesSeen(List.of(wider))).state();
			assertThat(evaluate(confirmList(state, now), "k", now, 0).reason()).isEqualTo(Verdict.Reason.TOO_YOUNG);
		}

	}

	@Nested
	class AServiceWithMoreRunnersThanExpected {

		@Test
		void acceptsNoCallersKeys() {
			KeyHome home = HomeView.of(2, List.of(A, B, C)).home(KEY).orElseThrow();
			KeyState state = confirmList(observe(KeyState.starting(home), 0, 2, A, B, C), 1_000_000);
			assertThat(evaluate(state, "k", 1_000_000, 0).reason()).isEqualTo(Verdict.Reason.TOO_MANY_RUNNERS);
		}

	}

}
