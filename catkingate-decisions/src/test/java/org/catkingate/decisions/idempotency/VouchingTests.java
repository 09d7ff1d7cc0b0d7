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
 * Tests for {@link Vouching} at the edges of its bounds.
 */
class VouchingTests {

	private static final VouchingTimes TIMES = VouchingTimes.ordinary();

	private static final long WINDOW = 60_000;

	private static final long AGE = TIMES.opaqueAgeMillis(WINDOW);

	private static final ServiceName SERVICE = new ServiceName("catalogue-api");

	private static final KeyHome A = home("a");

	private static final KeyHome B = home("b");

	private static final KeyHome C = home("c");

	private static final KeyScope KEY = new KeyScope(new AccountName("bar"), SERVICE, "k");

	private final KeyReducer reducer = KeyReducer.with(TIMES);

	private final Vouching vouching = Vouching.with(TIMES);

	private static KeyHome home(String name) {
		return new KeyHome(new InstanceId(name), "10.0.0.1", name.charAt(0));
	}

	private KeyState sees(KeyState state, long atMillis, int expected, KeyHome... members) {
		ServiceView view = new ServiceView(SERVICE, WINDOW, 1, HomeView.of(expected, Arrays.asList(members)));
		return this.reducer.reduce(state, atMillis, new KeyEvent.ServicesSeen(List.of(view))).state();
	}

	private KeyState confirmed(KeyState state, long atMillis) {
		return this.reducer.reduce(state, atMillis, new KeyEvent.ListConfirmed(atMillis)).state();
	}

	private Verdict judge(KeyState state, String key, long atMillis, long wallMillis) {
		return this.vouching.judge(state, new KeyScope(KEY.account(), SERVICE, key), 0, atMillis, wallMillis);
	}

	private boolean vouches(KeyState state, long atMillis) {
		return judge(state, KEY.key(), atMillis, 0).vouched();
	}

	/**
	 * The first moment at which an agent vouches that has become the only one.
	 */
	private long firstVouchAfter(long changeMillis) {
		KeyState state = sees(KeyState.starting(B), changeMillis, 0, B);
		Verdict verdict = judge(confirmed(state, changeMillis), KEY.key(), changeMillis, 0);
		long first = changeMillis + verdict.retryAfterMillis();
		assertThat(vouches(confirmed(state, first - 1), first - 1)).isFalse();
		assertThat(vouches(confirmed(state, first), first)).isTrue();
		return first;
	}

	@Nested
	class AReplacementUnderAnotherName {

		private static final long CHANGE = 1_000_000;

		@Test
		void waitsUntilNoRepeatOfACallAtItsPredecessorCanArrive() {
			long lastRead = CHANGE + TIMES.listLagMillis();
			KeyState predecessor = confirmed(sees(KeyState.starting(A), 0, 0, A), lastRead);
			long lastVouch = lastRead + TIMES.listMillis();
			assertThat(vouches(predecessor, lastVouch)).isTrue();
			assertThat(vouches(predecessor, lastVouch + 1)).isFalse();
			assertThat(firstVouchAfter(CHANGE) - lastVouch).isGreaterThan(AGE);
		}

	}

	@Nested
	class AnAgentListedAtAnotherAddress {

		private static final long LATER = 10_000_000;

		private final KeyState agent = sees(KeyState.starting(new KeyHome(A.instance(), "127.0.0.1", 7100)), 0, 0, A);

		@Test
		void isNotTheHomeOfKeysSinceAReplacementMayBeThere() {
			assertThat(judge(confirmed(this.agent, LATER), "k", LATER, 0).reason()).isEqualTo(Verdict.Reason.NOT_HOME);
		}

		@Test
		void isTheHomeOnceItHasMetItselfThere() {
			KeyEvent met = new KeyEvent.MetItself(A);
			KeyState known = VouchingTests.this.reducer.reduce(this.agent, LATER, met).state();
			assertThat(vouches(confirmed(known, LATER), LATER)).isTrue();
		}

	}

	@Nested
	class AWitness {

		@Test
		void isNotCountedForTwoHomesWithinTheTimeOfRepeats() {
			KeyHome former = HomeView.of(3, List.of(A, B, C)).home(KEY).orElseThrow();
			KeyHome witness = (former.equals(A)) ? B : A;
			KeyState state = sees(KeyState.starting(former), 0, 3, A, B, C);
			long changed = 1_000_000;
			state = confirmed(statement(state, sees(KeyState.starting(witness), 0, 3, A, B, C), changed), changed);
			long lastVouch = changed + TIMES.statementMillis();
			assertThat(vouches(state, lastVouch)).isTrue();
			assertThat(vouches(state, lastVouch + 1)).isFalse();
			assertThat(changed + TIMES.coverMillis(AGE) - lastVouch).isGreaterThan(AGE);
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
		void isAsOldAsItsWaitIsLong() {
			KeyState state = confirmed(sees(KeyState.starting(A), 0, 0, A), TIMES.coverMillis(AGE));
			long now = TIMES.coverMillis(AGE);
			assertThat(VouchingTests.this.vouching.judge(state, KEY, 0, now, 0).vouched()).isTrue();
			assertThat(VouchingTests.this.vouching.judge(state, KEY, 1, now, 0).vouched()).isFalse();
		}

	}

	@Nested
	class AKeyWithItsTimeOfBirth {

		private static final long BORN = 0x0190_0000_0000L;

		private static final String TIMED = "01900000-0000-7000-8000-000000000000";

		private final long lead = TIMES.coverMillis(2 * TIMES.skewMillis());

		private final KeyState young = confirmed(sees(KeyState.starting(A), 0, 0, A), this.lead);

		@Test
		void isVouchedForByAYoungAgentIfItIsYounger() {
			assertThat(judge(this.young, TIMED, this.lead, BORN).vouched()).isTrue();
			assertThat(judge(this.young, TIMED, this.lead, BORN + 1).reason()).isEqualTo(Verdict.Reason.TOO_YOUNG);
		}

		@Test
		void isRefusedForGoodOnceItIsOlderThanTheWindow() {
			KeyState old = confirmed(sees(KeyState.starting(A), 0, 0, A), 1_000_000);
			Verdict verdict = judge(old, TIMED, 1_000_000, BORN + AGE + 1);
			assertThat(verdict).isEqualTo(new Verdict(Verdict.Reason.KEY_EXPIRED, 0));
		}

		@Test
		void isRefusedIfItIsFromTheFuture() {
			assertThat(judge(this.young, TIMED, this.lead, BORN - TIMES.skewMillis() - 1).reason())
				.isEqualTo(Verdict.Reason.KEY_FROM_FUTURE);
		}

	}

	@Nested
	class AGrowingWindow {

		@Test
		void countsOnlyFromWhenKeysWereRememberedForIt() {
			KeyState state = sees(KeyState.starting(A), 0, 0, A);
			ServiceView wider = new ServiceView(SERVICE, 2 * WINDOW, 1, HomeView.of(0, List.of(A)));
			long now = 10_000_000;
			state = VouchingTests.this.reducer.reduce(state, now, new KeyEvent.ServicesSeen(List.of(wider))).state();
			assertThat(judge(confirmed(state, now), "k", now, 0).reason()).isEqualTo(Verdict.Reason.TOO_YOUNG);
		}

	}

	@Nested
	class AServiceWithMoreRunnersThanExpected {

		@Test
		void takesNoCallersKeys() {
			KeyHome home = HomeView.of(2, List.of(A, B, C)).home(KEY).orElseThrow();
			KeyState state = confirmed(sees(KeyState.starting(home), 0, 2, A, B, C), 1_000_000);
			assertThat(judge(state, "k", 1_000_000, 0).reason()).isEqualTo(Verdict.Reason.TOO_MANY_RUNNERS);
		}

	}

}
