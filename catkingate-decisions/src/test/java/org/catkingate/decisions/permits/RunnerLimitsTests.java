package org.catkingate.decisions.permits;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.catkingate.model.InstanceId;
import org.catkingate.model.RunnerId;
import org.catkingate.model.prompts.RunnerStart;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RunnerLimits}.
 */
class RunnerLimitsTests {

	private static final InstanceId ISSUER = new InstanceId("gateway-1");

	private static final InstanceId OTHER = new InstanceId("gateway-2");

	private static final RunnerStart RUNNER = new RunnerStart(new RunnerId("a"), 1);

	private static RunnerLimits limited(RunnerLimits limits, double perSecond) {
		limits.record(RUNNER, new LimitStatement(perSecond, -100, 0), "r1", 0);
		limits.takeEffects();
		return limits;
	}

	/**
	 * Sends whenever there is a permit, and counts it.
	 */
	private static int send(RunnerLimits limits, long fromMillis, long toMillis) {
		int sent = 0;
		for (long now = fromMillis; now < toMillis; now += 10) {
			limits.update(now);
			if (!limits.canSend(RUNNER, now)) {
				limits.addDemand(RUNNER, now);
			}
			sent += limits.take(RUNNER, now).isPresent() ? 1 : 0;
		}
		return sent;
	}

	@Nested
	class Alone {

		private final RunnerLimits limits = new RunnerLimits(ISSUER, 0, 1);

		// Guards against a burst right after the first statement.
		@Test
		void sendsNothingAtOnceAfterTheFirstStatement() {
			limited(this.limits, 2);
			assertThat(send(this.limits, 0, 400)).isZero();
			assertThat(send(this.limits, 400, 10_000)).isBetween(19, 20);
		}

		// Guards against the requests of a pause that are sent all at once after it.
		@Test
		void sendsOneRequestAtOnceAfterAPause() {
			limited(this.limits, 2);
			send(this.limits, 0, 1000);
			assertThat(send(this.limits, 60_000, 60_100)).isEqualTo(1);
		}

		@Test
		void usesAPermitThatWasGivenBack() {
			limited(this.limits, 2);
			this.limits.addDemand(RUNNER, 0);
			this.limits.update(600);
			this.limits.addDemand(RUNNER, 600);
			Runnable giveBack = this.limits.take(RUNNER, 600).orElseThrow();
			assertThat(this.limits.take(RUNNER, 610)).isEmpty();
			giveBack.run();
			this.limits.addDemand(RUNNER, 620);
			assertThat(this.limits.take(RUNNER, 620)).isPresent();
		}

		// Guards against a limit of nothing whose end is never noticed, and against using
		// it as a rate.
		@ParameterizedTest
		@ValueSource(doubles = { 0, 1e-9, 0.01 })
		void sendsVeryFewRequestsUnderALimitOfNothing(double limit) {
			limited(this.limits, limit);
			assertThat(send(this.limits, 0, 60_000)).isBetween(2, 3);
		}

		@Test
		void sendsAllRequestsUnderAHugeLimit() {
			limited(this.limits, 1e9);
			assertThat(send(this.limits, 0, 1000)).isGreaterThan(90);
		}

		@Test
		void knowsNothingOfAnotherStartOfTheRunner() {
			limited(this.limits, 2);
			assertThat(this.limits.isLimited(RUNNER)).isTrue();
			assertThat(this.limits.isLimited(new RunnerStart(RUNNER.runner(), 2))).isFalse();
		}

	}

	@Nested
	class AsAnIssuerThatHasJustStarted {

		private final RunnerLimits limits = new RunnerLimits(ISSUER, 0, 3);

		private List<PermitEffect> requestPermits(long nowMillis) {
			this.limits.receive(OTHER, new PermitEffect.RequestPermits(ISSUER, RUNNER, 5, nowMillis), nowMillis);
			this.limits.update(nowMillis + 500);
			return this.limits.takeEffects();
		}

		// Guards against permits without end from an issuer that has not yet heard of the
		// limit (LIMIT).
		@Test
		void grantsNothingBeforeItKnowsOfTheLimit() {
			assertThat(requestPermits(0)).isEmpty();
		}

		@Test
		void grantsItsPartOnceItKnowsTheLimit() {
			requestPermits(0);
			limited(this.limits, 6);
			assertThat(requestPermits(1000)).containsExactly(new PermitEffect.GrantPermits(OTHER, RUNNER, 1, 1000, 1));
		}

		@Test
		void grantsEverythingOnceItKnowsThatTheLimitHasEnded() {
			limited(this.limits, 6);
			this.limits.record(RUNNER, new LimitStatement(LimitStatement.NO_LIMIT, 100, 200), "r2", 200);
			this.limits.takeEffects();
			assertThat(requestPermits(1000)).containsExactly(new PermitEffect.GrantPermits(OTHER, RUNNER, 5, 1000, 1));
		}

	}

	@Nested
	class AmongOthers {

		private final RunnerLimits limits = new RunnerLimits(OTHER, -1, 3);

		private List<PermitEffect> requestPermit() {
			limited(this.limits, 2);
			this.limits.updateConnected(List.of(ISSUER), 4);
			this.limits.addDemand(RUNNER, 0);
			return this.limits.takeEffects();
		}

		@Test
		void asksAnIssuerAndSendsWithItsPermit() {
			assertThat(requestPermit()).containsExactly(new PermitEffect.RequestPermits(ISSUER, RUNNER, 1, 0));
			this.limits.receive(ISSUER, new PermitEffect.GrantPermits(OTHER, RUNNER, 1, 0, 4), 20);
			assertThat(this.limits.take(RUNNER, 30)).isPresent();
		}

		// Guards against permits that are lost although another gateway could use them.
		@Test
		void returnsPermitsThatItDoesNotNeed() {
			requestPermit();
			this.limits.receive(ISSUER, new PermitEffect.GrantPermits(OTHER, RUNNER, 3, 0, 4), 20);
			assertThat(this.limits.takeEffects()).containsExactly(new PermitEffect.ReturnPermits(ISSUER, RUNNER, 2));
			this.limits.update(1000);
			assertThat(this.limits.takeEffects()).containsExactly(new PermitEffect.ReturnPermits(ISSUER, RUNNER, 1));
		}

		// Guards against permits that arrive together when a connection works again.
		@Test
		void doesNotUsePermitsThatArriveLate() {
			requestPermit();
			this.limits.addDemand(RUNNER, 4990);
			this.limits.receive(ISSUER, new PermitEffect.GrantPermits(OTHER, RUNNER, 1, 0, 4), 5000);
			assertThat(this.limits.take(RUNNER, 5000)).isEmpty();
		}

		// Guards against gateways that are cut off from the issuers and send as much as
		// the limit each.
		@Test
		void sendsLittleWithoutAnIssuer() {
			requestPermit();
			this.limits.receive(ISSUER, new PermitEffect.GrantPermits(OTHER, RUNNER, 1, 0, 10), 20);
			this.limits.updateConnected(List.of(), 1);
			assertThat(send(this.limits, 1000, 61_000)).isBetween(5, 7);
		}

		@Test
		void sendsNothingIfItHasNeverReachedAnIssuer() {
			limited(this.limits, 2);
			assertThat(send(this.limits, 0, 60_000)).isZero();
		}

	}

}
