package org.catkingate.decisions.coldstart;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.catkingate.model.InstanceId;
import org.catkingate.model.RunnerId;
import org.catkingate.model.prompts.RunnerStart;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KnownGateways} and {@link ColdRunner}.
 */
class KnownGatewaysTests {

	private static final RunnerStart RUNNER = new RunnerStart(new RunnerId("r"), 1);

	private static List<InstanceId> ids(int count) {
		return IntStream.range(0, count).mapToObj((i) -> new InstanceId("gateway-" + i)).toList();
	}

	private static int part(int gateway, int known, double allowance) {
		KnownGateways gateways = new KnownGateways(new InstanceId("gateway-" + gateway), 3, false, 0);
		gateways.add(ids(known));
		return gateways.part(RUNNER, allowance);
	}

	private static ColdRunner coldRunner(double allowance) {
		ColdRunner runner = new ColdRunner(new KnownGateways(new InstanceId("gateway-0"), 0, false, -5000), RUNNER);
		runner.update(Optional.of(allowance), true);
		return runner;
	}

	// Guards against parts whose sum exceeds the allowance, or that leave most of it
	// unused, for any number of gateways.
	@ParameterizedTest
	@ValueSource(ints = { 4, 5, 16, 19, 41, 42, 43, 44, 45, 64, 100 })
	void divideTheAllowance(int known) {
		int sum = IntStream.range(0, known).map((gateway) -> part(gateway, known, 44)).sum();
		assertThat(sum).isBetween((int) Math.ceil(0.6 * 44), 44);
	}

	// Guards against gateways that join while a known one cannot be told, and that send
	// what it still counts as its own part.
	@ParameterizedTest
	@ValueSource(ints = { 4, 5, 16, 19, 41, 42, 43, 44, 45, 64, 100 })
	void leaveRoomForTwoGatewaysThatOthersDoNotKnow(int known) {
		int joined = known + 2;
		int sum = IntStream.range(0, known).map((gateway) -> part(gateway, known, 44)).sum() + part(known, joined, 44)
				+ part(known + 1, joined, 44);
		assertThat(sum).isLessThanOrEqualTo(44);
	}

	// Guards against a gateway that sends to cold runners before it knows how many others
	// do, or again at once after a restart.
	@Test
	void areSettledByAnotherContactToMostSeedsAWhileAfterTheFirst() {
		KnownGateways gateways = new KnownGateways(new InstanceId("gateway-9"), 3, false, 0);
		gateways.addFromSeed(new InstanceId("gateway-0"), ids(4), 100);
		gateways.addFromSeed(new InstanceId("gateway-0"), ids(4), 200);
		assertThat(gateways.isSettled(60_000)).isFalse();
		gateways.addFromSeed(new InstanceId("gateway-1"), ids(4), 300);
		gateways.addFromSeed(new InstanceId("gateway-0"), ids(4), 2299);
		gateways.addFromSeed(new InstanceId("gateway-1"), ids(4), 2300);
		assertThat(gateways.isSettled(2300)).isFalse();
		gateways.addFromSeed(new InstanceId("gateway-0"), ids(4), 2400);
		assertThat(gateways.isSettled(2400)).isTrue();
	}

	// Guards against two groups of gateways that cannot reach each other at their start
	// and both divide the whole allowance.
	@Test
	void areNotSettledInTheSmallerGroup() {
		assertThat(new KnownGateways(new InstanceId("gateway-0"), 3, true, 0).isSettled(60_000)).isFalse();
		assertThat(new KnownGateways(new InstanceId("gateway-0"), 2, true, 0).isSettled(60_000)).isFalse();
		assertThat(new KnownGateways(new InstanceId("gateway-0"), 1, true, 0).isSettled(60_000)).isTrue();
		assertThat(new KnownGateways(new InstanceId("gateway-0"), 0, false, 0).isSettled(60_000)).isTrue();
	}

	// Guards against requests that leave late, or that a runner got just before it became
	// cold, and that exceed what it may get in one second.
	@Test
	void aRunnerIsChargedWhenARequestIsWrittenAlsoWhileWarm() {
		ColdRunner runner = coldRunner(2);
		ColdRunner.Reservation first = runner.reserve(0).orElseThrow();
		ColdRunner.Reservation second = runner.reserve(0).orElseThrow();
		assertThat(runner.reserve(0)).isEmpty();
		second.release();
		assertThat(runner.hasRoom(0)).isTrue();
		assertThat(first.use(900)).isTrue();
		runner.update(Optional.of(2.0), false);
		assertThat(runner.reserve(1000).orElseThrow().use(1000)).isTrue();
		ColdRunner.Reservation whileWarm = runner.reserve(1000).orElseThrow();
		runner.update(Optional.of(2.0), true);
		assertThat(whileWarm.use(1100)).isFalse();
		assertThat(runner.hasRoom(1900)).isFalse();
		assertThat(runner.hasRoom(2200)).isTrue();
	}

	// Guards against a limit for deployments without cold starts.
	@Test
	void aRunnerWithoutAllowanceIsNotLimited() {
		ColdRunner runner = new ColdRunner(new KnownGateways(new InstanceId("a"), 3, false, 0), RUNNER);
		runner.update(Optional.empty(), true);
		assertThat(IntStream.range(0, 1000).allMatch((i) -> runner.reserve(i).orElseThrow().use(i))).isTrue();
		assertThat(runner.isCold()).isFalse();
	}

}
