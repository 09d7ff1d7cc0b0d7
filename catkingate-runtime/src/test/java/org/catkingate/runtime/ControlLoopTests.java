package org.catkingate.runtime;

import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.ReductionResult;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ControlLoop}.
 */
class ControlLoopTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final long LONG_TICK_MILLIS = 3_600_000;

	private static final Reducer<Integer> SUM = (state, nowMillis, event) -> {
		if (event instanceof Add add) {
			int sum = state + add.count();
			return new ReductionResult<>(sum, List.of(new Report(sum)));
		}
		if (event instanceof Fail) {
			throw new IllegalStateException("expected by the test");
		}
		return ReductionResult.of(state);
	};

	private final Queue<Effect> effects = new ConcurrentLinkedQueue<>();

	private ControlLoop<Integer> start() {
		return ControlLoop.start(0, SUM, this.effects::add, MonotonicClock.system(), Tick::new, LONG_TICK_MILLIS);
	}

	@Test
	void effectsFollowTheOrderOfEvents() {
		try (ControlLoop<Integer> loop = start()) {
			loop.submit(new Add(1));
			loop.submit(new Add(2));
			Awaitility.await().atMost(TIMEOUT).until(() -> this.effects.size() == 2);
			assertThat(this.effects).containsExactly(new Report(1), new Report(3));
		}
	}

	@Test
	void anEventThatFailsLeavesTheStateUnchanged() {
		try (ControlLoop<Integer> loop = start()) {
			loop.submit(new Add(5));
			loop.submit(new Fail());
			loop.submit(new Add(1));
			Awaitility.await().atMost(TIMEOUT).until(() -> loop.state() == 6);
		}
	}

	// Guards against a process that runs on and follows nothing, since an error has ended
	// its control thread.
	@Test
	void anErrorEndsItsEventOnly() {
		try (ControlLoop<Integer> loop = ControlLoop.start(0, (state, nowMillis, event) -> {
			if (event instanceof Fail) {
				throw new StackOverflowError("expected by the test");
			}
			return SUM.reduce(state, nowMillis, event);
		}, this.effects::add, MonotonicClock.system(), Tick::new, LONG_TICK_MILLIS)) {
			loop.submit(new Fail());
			loop.submit(new Add(1));
			Awaitility.await().atMost(TIMEOUT).until(() -> loop.state() == 1);
		}
	}

	// Guards against a call to the registry that is never made because another effect of
	// the same event failed.
	@Test
	void anEffectThatFailsDoesNotKeepTheOthersFromBeingExecuted() {
		Reducer<Integer> twice = (state, nowMillis, event) -> new ReductionResult<>(state,
				(event instanceof Add) ? List.of(new Report(1), new Report(2)) : List.of());
		Consumer<Effect> failingOnce = (effect) -> {
			if (effect.equals(new Report(1))) {
				throw new IllegalStateException("expected by the test");
			}
			this.effects.add(effect);
		};
		try (ControlLoop<Integer> loop = ControlLoop.start(0, twice, failingOnce, MonotonicClock.system(), Tick::new,
				LONG_TICK_MILLIS)) {
			loop.submit(new Add(1));
			Awaitility.await().atMost(TIMEOUT).until(() -> this.effects.contains(new Report(2)));
		}
	}

	private record Add(int count) implements Event {

	}

	private record Fail() implements Event {

	}

	private record Tick() implements Event {

	}

	private record Report(int sum) implements Effect {

	}

}
