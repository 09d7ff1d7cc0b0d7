package org.catkingate.agent.idempotency;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.idempotency.KeyHome;
import org.catkingate.decisions.idempotency.StoredResponse;
import org.catkingate.decisions.idempotency.VouchingBounds;
import org.catkingate.model.AccountName;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link IdempotencyKeyGuard}.
 */
class IdempotencyKeyGuardTests {

	private static final AccountName ACCOUNT = new AccountName("bar-ahd-17");

	private static final InstanceId OWN = new InstanceId("ahd-1");

	private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 7100);

	private static final byte[] BODY = { 1, 2, 3 };

	private static final VouchingBounds BOUNDS = VouchingBounds.defaults();

	private static final long RETENTION_MILLIS = BOUNDS.retentionMillis(TestFleet.REPEAT_WINDOW_MILLIS);

	private long nowMillis = 1_000;

	private KeyHomeTracker homes;

	private KeyIssuer keyIssuer;

	private IdempotencyKeyGuard guard;

	@BeforeEach
	void startAgent() {
		start(1);
	}

	private void start(long incarnation) {
		this.homes = KeyHomeTracker.start(KeyHome.of(OWN, ADDRESS), Map.of(TestFleet.SERVICE, 1), BOUNDS,
				(instance) -> Optional.empty(), (address, onMatch) -> {
				}, this::nanos, () -> this.nowMillis);
		this.homes.fleetChanged(TestFleet.configuration(0), TestFleet.list(Map.of(OWN.value(), ADDRESS)));
		this.keyIssuer = KeyIssuer.create(OWN, incarnation, this::nanos);
		this.guard = IdempotencyKeyGuard.bounded(this.homes, this.keyIssuer, this::nanos, 2, 100);
	}

	private long nanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
	}

	private void advanceClock(long millis) {
		this.nowMillis += millis;
	}

	private void advanceClockWithListConfirmed(long millis) {
		advanceClock(millis);
		this.homes.listConfirmed(this.nowMillis);
	}

	private static NonIdempotentCall call(String key) {
		return new NonIdempotentCall(ACCOUNT, TestFleet.SERVICE, key, Digest.of(BODY));
	}

	private RunPermit admittedPermit(String key) {
		IdempotencyDecision decision = this.guard.admit(call(key));
		assertThat(decision).isInstanceOf(IdempotencyDecision.Run.class);
		return ((IdempotencyDecision.Run) decision).permit();
	}

	private RunPermit startedPermit(String key) {
		RunPermit permit = admittedPermit(key);
		assertThat(permit.tryStart()).isTrue();
		return permit;
	}

	private void run(String key) {
		RunPermit permit = startedPermit(key);
		permit.recordHead(201, List.of(new StoredResponse.Header("Location", "/purchases/1")));
		permit.recordBody(BODY);
		permit.complete();
	}

	@Nested
	class CallersKeys {

		@BeforeEach
		void waitUntilTheAgentMayVouch() {
			advanceClockWithListConfirmed(RETENTION_MILLIS);
		}

		@Test
		void replayTheCompleteResponse() {
			run("k");
			StoredResponse response = ((IdempotencyDecision.Replay) IdempotencyKeyGuardTests.this.guard
				.admit(call("k"))).response();
			assertThat(response.status()).isEqualTo(201);
			assertThat(response.headers()).containsExactly(new StoredResponse.Header("Location", "/purchases/1"));
			assertThat(response.pieces()).containsExactly(BODY);
		}

		@Test
		void getARetryTimeWhileTheirCallIsInProgress() {
			startedPermit("k");
			IdempotencyDecision repeat = IdempotencyKeyGuardTests.this.guard.admit(call("k"));
			assertThat(repeat).isInstanceOfSatisfying(IdempotencyDecision.OutcomeUnknown.class,
					(unknown) -> assertThat(unknown.retryAfterMillis()).isPositive());
		}

		@Test
		void areNotRunAgainAfterTheirCallFailed() {
			startedPermit("k").fail();
			assertThat(IdempotencyKeyGuardTests.this.guard.admit(call("k")))
				.isInstanceOf(IdempotencyDecision.OutcomeUnknown.class);
		}

		@Test
		void mayRunAfterACallThatWasNotStarted() {
			admittedPermit("k").abandon();
			run("k");
		}

		@Test
		void areRememberedForTheRetentionTime() {
			run("k");
			advanceClockWithListConfirmed(RETENTION_MILLIS);
			assertThat(IdempotencyKeyGuardTests.this.guard.admit(call("k")))
				.isInstanceOf(IdempotencyDecision.Replay.class);
		}

		@Test
		void areForgottenAfterTheRetentionTime() {
			run("k");
			advanceClockWithListConfirmed(RETENTION_MILLIS + 1);
			run("k");
		}

		@Test
		void areRejectedAtStartAfterAPauseOfTheProcess() {
			RunPermit permit = admittedPermit("k");
			advanceClock(BOUNDS.maxListAgeMillis() + 1);
			assertThat(permit.tryStart()).isFalse();
		}

		@Test
		void ofAnotherAccountAreDistinct() {
			run("k");
			NonIdempotentCall otherCall = new NonIdempotentCall(new AccountName("dj"), TestFleet.SERVICE, "k",
					Digest.of(BODY));
			assertThat(IdempotencyKeyGuardTests.this.guard.admit(otherCall))
				.isInstanceOf(IdempotencyDecision.Run.class);
		}

		@Test
		void areRejectedForACallWithOtherContent() {
			run("k");
			NonIdempotentCall otherCall = new NonIdempotentCall(ACCOUNT, TestFleet.SERVICE, "k",
					Digest.of(new byte[0]));
			assertThat(IdempotencyKeyGuardTests.this.guard.admit(otherCall))
				.isInstanceOf(IdempotencyDecision.Reject.class);
		}

		@Test
		void areRejectedWhenTheMemoryIsFullInsteadOfEvictingOthers() {
			run("k");
			run("l");
			assertThat(IdempotencyKeyGuardTests.this.guard.admit(call("m")))
				.isInstanceOf(IdempotencyDecision.Reject.class);
			assertThat(IdempotencyKeyGuardTests.this.guard.admit(call("k")))
				.isInstanceOf(IdempotencyDecision.Replay.class);
		}

		@Test
		void areNotRunAgainWhenTheirResponseWasTooLargeToKeep() {
			RunPermit permit = startedPermit("k");
			permit.recordHead(200, List.of());
			permit.recordBody(new byte[IdempotencyKeyGuard.MAX_RESPONSE_BYTES + 1]);
			permit.complete();
			assertThat(IdempotencyKeyGuardTests.this.guard.admit(call("k")))
				.isInstanceOf(IdempotencyDecision.OutcomeUnknown.class);
		}

		@Test
		void areRejectedWhileTheListIsNotConfirmed() {
			advanceClock(BOUNDS.maxListAgeMillis() + 1);
			assertThat(IdempotencyKeyGuardTests.this.guard.admit(call("k")))
				.isInstanceOf(IdempotencyDecision.Reject.class);
		}

	}

	@Nested
	class AnAgentThatHasJustStarted {

		@Test
		void rejectsCallersKeysWithARetryTime() {
			advanceClockWithListConfirmed(RETENTION_MILLIS - 700);
			assertThat(IdempotencyKeyGuardTests.this.guard.admit(call("k"))).isInstanceOfSatisfying(
					IdempotencyDecision.Reject.class,
					(rejection) -> assertThat(rejection.retryAfterMillis()).isEqualTo(700));
		}

		@Test
		void runsKeysThatItHasIssued() {
			run(IdempotencyKeyGuardTests.this.keyIssuer.issue(ACCOUNT, TestFleet.SERVICE));
		}

		@Test
		void runsCallsWithoutKeys() {
			assertThat(admittedPermit(null).tryStart()).isTrue();
		}

	}

	@Nested
	class IssuedKeys {

		@Test
		void runOnce() {
			String key = IdempotencyKeyGuardTests.this.keyIssuer.issue(ACCOUNT, TestFleet.SERVICE);
			run(key);
			assertThat(IdempotencyKeyGuardTests.this.guard.admit(call(key)))
				.isInstanceOf(IdempotencyDecision.Replay.class);
		}

		@Test
		void areUnknownToTheNextIncarnation() {
			String key = IdempotencyKeyGuardTests.this.keyIssuer.issue(ACCOUNT, TestFleet.SERVICE);
			start(2);
			assertThat(IdempotencyKeyGuardTests.this.guard.admit(call(key)))
				.isInstanceOf(IdempotencyDecision.OutcomeUnknown.class);
		}

		@Test
		void ofAnIncarnationWithTheSameNumberAreRejected() {
			String key = IdempotencyKeyGuardTests.this.keyIssuer.issue(ACCOUNT, TestFleet.SERVICE);
			start(1);
			assertThat(IdempotencyKeyGuardTests.this.guard.admit(call(key)))
				.isInstanceOf(IdempotencyDecision.Reject.class);
		}

		@Test
		void ofAnotherAccountAreRejected() {
			String key = IdempotencyKeyGuardTests.this.keyIssuer.issue(new AccountName("dj"), TestFleet.SERVICE);
			assertThat(IdempotencyKeyGuardTests.this.guard.admit(call(key)))
				.isInstanceOf(IdempotencyDecision.Reject.class);
		}

		@Test
		void areRememberedUntilTheyExpire() {
			String key = IdempotencyKeyGuardTests.this.keyIssuer.issue(ACCOUNT, TestFleet.SERVICE);
			run(key);
			advanceClock(KeyIssuer.KEY_VALIDITY_MILLIS);
			assertThat(IdempotencyKeyGuardTests.this.guard.admit(call(key)))
				.isInstanceOf(IdempotencyDecision.Replay.class);
		}

		@Test
		void doNotRunOnceExpired() {
			String key = IdempotencyKeyGuardTests.this.keyIssuer.issue(ACCOUNT, TestFleet.SERVICE);
			run(key);
			advanceClock(2 * KeyIssuer.KEY_VALIDITY_MILLIS);
			assertThat(IdempotencyKeyGuardTests.this.guard.admit(call(key)))
				.isInstanceOf(IdempotencyDecision.OutcomeUnknown.class);
		}

	}

}
