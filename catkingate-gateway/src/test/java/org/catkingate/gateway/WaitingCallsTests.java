package org.catkingate.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.xnio.XnioExecutor;

import org.catkingate.decisions.competition.WaitingQueue;
import org.catkingate.decisions.sending.Residency;
import org.catkingate.decisions.sending.Urgency;
import org.catkingate.model.ServiceName;
import org.catkingate.runtime.MonotonicClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link WaitingCalls}.
 */
class WaitingCallsTests {

	private static final int MANY_CALLS = 10_000;

	private final WaitingCalls calls = new WaitingCalls(new ServiceCompetitions(Optional::empty),
			(service, residency, now) -> OptionalLong.empty(), MonotonicClock.system());

	private int add(String service, int count, int maxCalls) {
		int added = 0;
		for (int i = 0; i < count; i++) {
			added += this.calls.add(new ServiceName(service), maxCalls, entry(), new IdleExecutor()) ? 1 : 0;
		}
		return added;
	}

	private static WaitingQueue.Entry<WaitingCalls.Call> entry() {
		return new WaitingQueue.Entry<>(new WaitingCalls.Call() {

			@Override
			public boolean trySend(boolean late) {
				return false;
			}

			@Override
			public void giveUp() {
			}

		}, new Urgency(0, 0), null, Residency.anywhere(), 0, Long.MAX_VALUE, Long.MAX_VALUE, false);
	}

	@Test
	void areAsManyAsTheDecisionAllowsForAService() {
		assertThat(add("songs", MANY_CALLS, 3)).isEqualTo(3);
		assertThat(add("bars", MANY_CALLS, 2)).isEqualTo(2);
	}

	// Guards against waiting calls without end if a runner states a huge limit, or for
	// many services at once.
	@Test
	void areBoundedForAllServicesTogether() {
		int added = add("songs", MANY_CALLS, Integer.MAX_VALUE) + add("bars", MANY_CALLS, Integer.MAX_VALUE);
		assertThat(added).isLessThanOrEqualTo(500);
	}

	/**
	 * An executor that never runs anything.
	 */
	private static final class IdleExecutor implements XnioExecutor {

		@Override
		public void execute(Runnable command) {
		}

		@Override
		public Key executeAfter(Runnable command, long time, TimeUnit unit) {
			return () -> true;
		}

		@Override
		public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
			return () -> true;
		}

	}

}
