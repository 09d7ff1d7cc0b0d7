package org.catkingate.agent.idempotency;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.idempotency.KeptAnswer;
import org.catkingate.decisions.idempotency.KeyHome;
import org.catkingate.decisions.idempotency.VouchingTimes;
import org.catkingate.model.AccountName;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KeyTable}.
 */
class KeyTableTests {

	private static final AccountName ACCOUNT = new AccountName("bar-ahd-17");

	private static final InstanceId OWN = new InstanceId("ahd-1");

	private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 7100);

	private static final byte[] BODY = { 1, 2, 3 };

	private static final VouchingTimes TIMES = VouchingTimes.ordinary();

	private static final long COVER_MILLIS = TIMES.retentionMillis(Fleets.WINDOW_MILLIS);

	private long nowMillis = 1_000;

	private KeyExchange exchange;

	private TicketOffice tickets;

	private KeyTable table;

	@BeforeEach
	void startAgent() {
		start(1);
	}

	private void start(long incarnation) {
		this.exchange = KeyExchange.start(KeyHome.of(OWN, ADDRESS), Map.of(Fleets.SERVICE, 1), TIMES,
				(instance) -> Optional.empty(), (address, itself) -> {
				}, this::nanos, () -> this.nowMillis);
		this.exchange.fleet(Fleets.configuration(0), Fleets.list(Map.of(OWN.value(), ADDRESS)));
		this.tickets = TicketOffice.open(OWN, incarnation, this::nanos);
		this.table = KeyTable.bounded(this.exchange, this.tickets, this::nanos, 2, 100);
	}

	private long nanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
	}

	private void pass(long millis) {
		this.nowMillis += millis;
	}

	private void passWithListConfirmed(long millis) {
		pass(millis);
		this.exchange.listConfirmed(this.nowMillis);
	}

	private static GuardedCall call(String key) {
		return new GuardedCall(ACCOUNT, Fleets.SERVICE, key, Digest.of(BODY));
	}

	private RunPermit permit(String key) {
		Admission admission = this.table.admit(call(key));
		assertThat(admission).isInstanceOf(Admission.Run.class);
		return ((Admission.Run) admission).permit();
	}

	private RunPermit started(String key) {
		RunPermit permit = permit(key);
		assertThat(permit.start()).isTrue();
		return permit;
	}

	private void run(String key) {
		RunPermit permit = started(key);
		permit.head(201, List.of(new KeptAnswer.Header("Location", "/purchases/1")));
		permit.data(BODY);
		permit.ended();
	}

	@Nested
	class CallersKeys {

		@BeforeEach
		void becomeOldEnough() {
			passWithListConfirmed(COVER_MILLIS);
		}

		@Test
		void getTheWholeAnswerAgain() {
			run("k");
			KeptAnswer answer = ((Admission.Replay) KeyTableTests.this.table.admit(call("k"))).answer();
			assertThat(answer.status()).isEqualTo(201);
			assertThat(answer.headers()).containsExactly(new KeptAnswer.Header("Location", "/purchases/1"));
			assertThat(answer.pieces()).containsExactly(BODY);
		}

		@Test
		void areToldToComeBackWhileTheirCallIsInProgress() {
			started("k");
			Admission repeat = KeyTableTests.this.table.admit(call("k"));
			assertThat(repeat).isInstanceOfSatisfying(Admission.Unknown.class,
					(unknown) -> assertThat(unknown.retryAfterMillis()).isPositive());
		}

		@Test
		void areNotRunAgainAfterTheirCallBrokeOff() {
			started("k").failed();
			assertThat(KeyTableTests.this.table.admit(call("k"))).isInstanceOf(Admission.Unknown.class);
		}

		@Test
		void mayRunAfterACallThatWasNotStarted() {
			permit("k").notStarted();
			run("k");
		}

		@Test
		void areRememberedForAsLongAsAnotherAgentMustWait() {
			run("k");
			passWithListConfirmed(COVER_MILLIS);
			assertThat(KeyTableTests.this.table.admit(call("k"))).isInstanceOf(Admission.Replay.class);
		}

		@Test
		void areForgottenAfterThat() {
			run("k");
			passWithListConfirmed(COVER_MILLIS + 1);
			run("k");
		}

		@Test
		void areRefusedAtTheLastMomentAfterAPause() {
			RunPermit permit = permit("k");
			pass(TIMES.listMillis() + 1);
			assertThat(permit.start()).isFalse();
		}

		@Test
		void ofAnotherAccountAreOtherKeys() {
			run("k");
			GuardedCall other = new GuardedCall(new AccountName("dj"), Fleets.SERVICE, "k", Digest.of(BODY));
			assertThat(KeyTableTests.this.table.admit(other)).isInstanceOf(Admission.Run.class);
		}

		@Test
		void areRefusedForACallOfOtherContent() {
			run("k");
			GuardedCall other = new GuardedCall(ACCOUNT, Fleets.SERVICE, "k", Digest.of(new byte[0]));
			assertThat(KeyTableTests.this.table.admit(other)).isInstanceOf(Admission.Refuse.class);
		}

		@Test
		void areRefusedRatherThanOthersForgotten() {
			run("k");
			run("l");
			assertThat(KeyTableTests.this.table.admit(call("m"))).isInstanceOf(Admission.Refuse.class);
			assertThat(KeyTableTests.this.table.admit(call("k"))).isInstanceOf(Admission.Replay.class);
		}

		@Test
		void areNotRunAgainWhenTheirAnswerWasTooLargeToKeep() {
			RunPermit permit = started("k");
			permit.head(200, List.of());
			permit.data(new byte[KeyTable.MAXIMUM_ANSWER_BYTES + 1]);
			permit.ended();
			assertThat(KeyTableTests.this.table.admit(call("k"))).isInstanceOf(Admission.Unknown.class);
		}

		@Test
		void areRefusedWhileTheListIsNotConfirmed() {
			pass(TIMES.listMillis() + 1);
			assertThat(KeyTableTests.this.table.admit(call("k"))).isInstanceOf(Admission.Refuse.class);
		}

	}

	@Nested
	class AnAgentThatHasJustStarted {

		@Test
		void refusesCallersKeysAndSaysWhenToComeBack() {
			passWithListConfirmed(COVER_MILLIS - 700);
			assertThat(KeyTableTests.this.table.admit(call("k"))).isInstanceOfSatisfying(Admission.Refuse.class,
					(refusal) -> assertThat(refusal.retryAfterMillis()).isEqualTo(700));
		}

		@Test
		void runsKeysThatItHasIssued() {
			run(KeyTableTests.this.tickets.issue(ACCOUNT, Fleets.SERVICE));
		}

		@Test
		void runsCallsWithoutKeys() {
			assertThat(permit(null).start()).isTrue();
		}

	}

	@Nested
	class IssuedKeys {

		@Test
		void runOnce() {
			String key = KeyTableTests.this.tickets.issue(ACCOUNT, Fleets.SERVICE);
			run(key);
			assertThat(KeyTableTests.this.table.admit(call(key))).isInstanceOf(Admission.Replay.class);
		}

		@Test
		void areUnknownToTheNextIncarnation() {
			String key = KeyTableTests.this.tickets.issue(ACCOUNT, Fleets.SERVICE);
			start(2);
			assertThat(KeyTableTests.this.table.admit(call(key))).isInstanceOf(Admission.Unknown.class);
		}

		@Test
		void ofAnIncarnationWithTheSameNumberAreRefused() {
			String key = KeyTableTests.this.tickets.issue(ACCOUNT, Fleets.SERVICE);
			start(1);
			assertThat(KeyTableTests.this.table.admit(call(key))).isInstanceOf(Admission.Refuse.class);
		}

		@Test
		void ofAnotherAccountAreRefused() {
			String key = KeyTableTests.this.tickets.issue(new AccountName("dj"), Fleets.SERVICE);
			assertThat(KeyTableTests.this.table.admit(call(key))).isInstanceOf(Admission.Refuse.class);
		}

		@Test
		void areRememberedUntilTheyExpire() {
			String key = KeyTableTests.this.tickets.issue(ACCOUNT, Fleets.SERVICE);
			run(key);
			pass(TicketOffice.VALID_MILLIS);
			assertThat(KeyTableTests.this.table.admit(call(key))).isInstanceOf(Admission.Replay.class);
		}

		@Test
		void doNotRunAfterThat() {
			String key = KeyTableTests.this.tickets.issue(ACCOUNT, Fleets.SERVICE);
			run(key);
			pass(2 * TicketOffice.VALID_MILLIS);
			assertThat(KeyTableTests.this.table.admit(call(key))).isInstanceOf(Admission.Unknown.class);
		}

	}

}
