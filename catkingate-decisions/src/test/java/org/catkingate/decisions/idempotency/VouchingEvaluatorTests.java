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
 * Tests for {@link VouchingEvaluator} at the limits of its bounds.
 */
class VouchingEvaluatorTests {

	private static final VouchingBounds BOUNDS = VouchingBounds.defaults();

	private static final long REPEAT_WINDOW_MILLIS = 60_000;

	private static final long OPAQUE_AGE_MILLIS = BOUNDS.opaqueAgeMillis(REPEAT_WINDOW_MILLIS);

	private static final ServiceName SERVICE = new ServiceName("catalogue-api");

	private static final KeyHome A = home("a");

	private static final KeyHome B = home("b");

	private static final KeyHome C = home("c");

	private static final ScopedKey KEY = new ScopedKey(new AccountName("bar"), SERVICE, "k");

	private final KeyReducer reducer = KeyReducer.with(BOUNDS);

	private final VouchingEvaluator vouchingEvaluator = VouchingEvaluator.with(BOUNDS);

	private static KeyHome home(String name) {
		return new KeyHome(new InstanceId(name), "10.0.0.1", name.charAt(0));
	}

	private KeyState observe(KeyState state, long atMillis, int expected, KeyHome... members) {
		ServiceObservation observation = new ServiceObservation(SERVICE, REPEAT_WINDOW_MILLIS, 1,
				HomeView.of(expected, Arrays.asList(members)));
		return this.reducer.reduce(state, atMillis, new KeyEvent.ServicesObserved(List.of(observation))).state();
	}

	private KeyState confirmList(KeyState state, long atMillis) {
		return this.reducer.reduce(state, atMillis, new KeyEvent.ListConfirmed(atMillis)).state();
	}

	private Verdict evaluate(KeyState state, String key, long atMillis, long wallMillis) {
		return this.vouchingEvaluator.evaluate(state, new ScopedKey(KEY.account(), SERVICE, key), 0, atMillis,
				wallMillis);
	}

	private boolean vouches(KeyState state, long atMillis) {
		return evaluate(state, KEY.key(), atMillis, 0).isVouched();
	}

	/**
	 * Returns the first time at which an agent vouches that has become the only agent of
	 * the service.
	 */
	private long firstVouchMillisAfter(long changeMillis) {
		KeyState state = observe(KeyState.starting(B), changeMillis, 0, B);
		Verdict verdict = evaluate(confirmList(state, changeMillis), KEY.key(), changeMillis, 0);
		long firstMillis = changeMillis + verdict.retryAfterMillis();
		assertThat(vouches(confirmList(state, firstMillis - 1), firstMillis - 1)).isFalse();
		assertThat(vouches(confirmList(state, firstMillis), firstMillis)).isTrue();
		return firstMillis;
	}

	@Nested
	class AReplacementUnderAnotherName {

		private static final long CHANGE_MILLIS = 1_000_000;

		@Test
		void waitsUntilNoRepeatOfACallAdmittedByItsPredecessorCanArrive() {
			long lastReadMillis = CHANGE_MILLIS + BOUNDS.maxListLagMillis();
			KeyState predecessor = confirmList(observe(KeyState.starting(A), 0, 0, A), lastReadMillis);
			long lastVouchMillis = lastReadMillis + BOUNDS.maxListAgeMillis();
			assertThat(vouches(predecessor, lastVouchMillis)).isTrue();
			assertThat(vouches(predecessor, lastVouchMillis + 1)).isFalse();
			assertThat(firstVouchMillisAfter(CHANGE_MILLIS) - lastVouchMillis).isGreaterThan(OPAQUE_AGE_MILLIS);
		}

	}

	@Nested
	class AnAgentListedAtAnotherAddress {

		private static final long LATER_MILLIS = 10_000_000;

		private final KeyState agent = observe(KeyState.starting(new KeyHome(A.instance(), "127.0.0.1", 7100)), 0, 0,
				A);

		@Test
		void isNotTheHomeOfKeysSinceAReplacementMayBeThere() {
			assertThat(evaluate(confirmList(this.agent, LATER_MILLIS), "k", LATER_MILLIS, 0).reason())
				.isEqualTo(Verdict.Reason.NOT_HOME);
		}

		@Test
		void isTheHomeOnceItHasReachedItselfThere() {
			KeyEvent confirmed = new KeyEvent.OwnAddressConfirmed(A);
			KeyState updated = VouchingEvaluatorTests.this.reducer.reduce(this.agent, LATER_MILLIS, confirmed).state();
			assertThat(vouches(confirmList(updated, LATER_MILLIS), LATER_MILLIS)).isTrue();
		}

	}

	@Nested
	class AnAgentThatAgrees {

		@Test
		void isNotCountedForTwoHomesWithinTheRepeatWindow() {
			KeyHome previous = HomeView.of(3, List.of(A, B, C)).home(KEY).orElseThrow();
			KeyHome agreeing = (previous.equals(A)) ? B : A;
			KeyState state = observe(KeyState.starting(previous), 0, 3, A, B, C);
			long changedMillis = 1_000_000;
			state = confirmList(
					withStatement(state, observe(KeyState.starting(agreeing), 0, 3, A, B, C), changedMillis),
					changedMillis);
			long lastVouchMillis = changedMillis + BOUNDS.maxStatementAgeMillis();
			assertThat(vouches(state, lastVouchMillis)).isTrue();
			assertThat(vouches(state, lastVouchMillis + 1)).isFalse();
			assertThat(changedMillis + BOUNDS.coverMillis(OPAQUE_AGE_MILLIS) - lastVouchMillis)
				.isGreaterThan(OPAQUE_AGE_MILLIS);
		}

		private KeyState withStatement(KeyState receiver, KeyState author, long atMillis) {
			KeyStatement statement = author.services().get(SERVICE).statement(author.own(), atMillis);
			KeyEvent received = new KeyEvent.StatementReceived(author.own().instance(), SERVICE, atMillis, statement);
			return VouchingEvaluatorTests.this.reducer.reduce(receiver, atMillis, received).state();
		}

	}

	@Nested
	class ACallThatWaited {

		@Test
		void hasAnAgeThatIncludesTheWaitingTime() {
			KeyState state = confirmList(observe(KeyState.starting(A), 0, 0, A), BOUNDS.coverMillis(OPAQUE_AGE_MILLIS));
			long nowMillis = BOUNDS.coverMillis(OPAQUE_AGE_MILLIS);
			assertThat(VouchingEvaluatorTests.this.vouchingEvaluator.evaluate(state, KEY, 0, nowMillis, 0).isVouched())
				.isTrue();
			assertThat(VouchingEvaluatorTests.this.vouchingEvaluator.evaluate(state, KEY, 1, nowMillis, 0).isVouched())
				.isFalse();
		}

	}

	@Nested
	class AKeyWithATimestamp {

		private static final long CREATED_AT_MILLIS = 0x0190_0000_0000L;

		private static final String TIMESTAMPED_KEY = "01900000-0000-7000-8000-000000000000";

		private final long coverMillis = BOUNDS.coverMillis(2 * BOUNDS.maxClockSkewMillis());

		private final KeyState recentlyStarted = confirmList(observe(KeyState.starting(A), 0, 0, A), this.coverMillis);

		@Test
		void isVouchedForByARecentlyStartedAgentIfItIsNewer() {
			assertThat(evaluate(this.recentlyStarted, TIMESTAMPED_KEY, this.coverMillis, CREATED_AT_MILLIS).isVouched())
				.isTrue();
			assertThat(
					evaluate(this.recentlyStarted, TIMESTAMPED_KEY, this.coverMillis, CREATED_AT_MILLIS + 1).reason())
				.isEqualTo(Verdict.Reason.TOO_YOUNG);
		}

		@Test
		void isRejectedPermanentlyOnceItIsOlderThanTheRepeatWindow() {
			KeyState state = confirmList(observe(KeyState.starting(A), 0, 0, A), 1_000_000);
			Verdict verdict = evaluate(state, TIMESTAMPED_KEY, 1_000_000, CREATED_AT_MILLIS + OPAQUE_AGE_MILLIS + 1);
			assertThat(verdict).isEqualTo(new Verdict(Verdict.Reason.KEY_EXPIRED, 0));
		}

		@Test
		void isRejectedIfItIsFromTheFuture() {
			assertThat(evaluate(this.recentlyStarted, TIMESTAMPED_KEY, this.coverMillis,
					CREATED_AT_MILLIS - BOUNDS.maxClockSkewMillis() - 1)
				.reason()).isEqualTo(Verdict.Reason.KEY_FROM_FUTURE);
		}

	}

	@Nested
	class AnExtendedRepeatWindow {

		@Test
		void appliesOnlyFromWhenKeysWereRetainedForIt() {
			KeyState state = observe(KeyState.starting(A), 0, 0, A);
			ServiceObservation wider = new ServiceObservation(SERVICE, 2 * REPEAT_WINDOW_MILLIS, 1,
					HomeView.of(0, List.of(A)));
			long nowMillis = 10_000_000;
			state = VouchingEvaluatorTests.this.reducer
				.reduce(state, nowMillis, new KeyEvent.ServicesObserved(List.of(wider)))
				.state();
			assertThat(evaluate(confirmList(state, nowMillis), "k", nowMillis, 0).reason())
				.isEqualTo(Verdict.Reason.TOO_YOUNG);
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
