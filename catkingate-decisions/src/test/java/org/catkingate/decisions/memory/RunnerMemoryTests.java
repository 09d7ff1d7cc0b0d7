package org.catkingate.decisions.memory;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.catkingate.model.registry.EngineProfile;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RunnerMemory} and {@link MemoryNeed}.
 */
class RunnerMemoryTests {

	private final RunnerMemory memory = new RunnerMemory();

	private static EngineProfile engine(long memoryTokens) {
		return new EngineProfile(12, 5, 8.87, 0, 0, 19.1, 0, 2048, 800, 100, memoryTokens, 64, List.of());
	}

	private static MemoryNeed need(long promptTokens, long maxResponseTokens) {
		return MemoryNeed.of(promptTokens, maxResponseTokens, Optional.of(engine(10_000)));
	}

	// Guards against a runner that crashes since the requests sent there exceed its
	// memory, whatever the order of starts, events and ends.
	@Test
	void sumOfRequestsWithAMaximumNeverExceedsTheMemory() {
		for (long seed = 0; seed < 200; seed++) {
			Random random = new Random(seed);
			RunnerMemory shared = new RunnerMemory();
			List<long[]> sizes = new ArrayList<>();
			List<RunnerMemory.Reservation> running = new ArrayList<>();
			for (int step = 0; step < 300; step++) {
				MemoryNeed next = need(1 + random.nextInt(4000), 1 + random.nextInt(2000));
				if (shared.hasRoom(next, step)) {
					running.add(shared.reserve(next, step));
					sizes.add(new long[] { next.promptTokens() + next.responseTokens() });
				}
				else if (!running.isEmpty()) {
					int ended = random.nextInt(running.size());
					running.remove(ended).release();
					sizes.remove(ended);
				}
				assertThat(sizes.stream().mapToLong((size) -> size[0]).sum()).as("seed %d", seed)
					.isLessThanOrEqualTo(10_000);
			}
		}
	}

	@Nested
	class ARequest {

		// Guards against callers without a maximum whose response counts as empty.
		@Test
		void withoutAStatedLengthNeedsTheMeanOfTheEngine() {
			assertThat(need(0, 0).tokens()).isEqualTo(900);
			assertThat(need(2000, 0).tokens()).isEqualTo(2100);
			assertThat(need(2000, 4000).tokens()).isEqualTo(6000);
		}

		// Guards against a request that waits or is sent although it ends any runner.
		@Test
		void thatIsLargerThanTheMemoryFitsNoRunner() {
			assertThat(need(6000, 4000).fitsEmptyRunner()).isTrue();
			assertThat(need(6000, 4001).fitsEmptyRunner()).isFalse();
			assertThat(need(6000, Long.MAX_VALUE).fitsEmptyRunner()).isFalse();
		}

		// Guards against deployments that publish no memory and are served differently.
		@Test
		void ofAServiceWithoutPublishedMemoryAlwaysHasRoom() {
			RunnerMemoryTests.this.memory.recordRequests(1_000_000, 0);
			MemoryNeed unknown = MemoryNeed.of(Long.MAX_VALUE, 1, Optional.of(engine(Long.MAX_VALUE)));
			assertThat(unknown.fitsEmptyRunner()).isTrue();
			assertThat(RunnerMemoryTests.this.memory.hasRoom(unknown, 0)).isTrue();
			assertThat(MemoryNeed.of(5, 5, Optional.empty())).isEqualTo(MemoryNeed.none());
		}

	}

	@Nested
	class OwnRequests {

		// Guards against a sum over the memory, and against memory that is not given
		// back.
		@Test
		void countExactlyUntilTheyEnd() {
			RunnerMemory.Reservation first = RunnerMemoryTests.this.memory.reserve(need(5000, 1000), 0);
			assertThat(RunnerMemoryTests.this.memory.hasRoom(need(3000, 1000), 1)).isTrue();
			assertThat(RunnerMemoryTests.this.memory.hasRoom(need(3000, 1001), 1)).isFalse();
			first.release();
			first.release();
			assertThat(RunnerMemoryTests.this.memory.hasRoom(need(6000, 4000), 2)).isTrue();
		}

		// Guards against a long response that is counted by its expected length only.
		@Test
		void countWhatTheyHaveGeneratedIfItIsMoreThanExpected() {
			RunnerMemory.Reservation first = RunnerMemoryTests.this.memory.reserve(need(5000, 0), 0);
			first.addEvents(19);
			assertThat(RunnerMemoryTests.this.memory.hasRoom(need(4900, 0), 1)).isFalse();
			assertThat(RunnerMemoryTests.this.memory.hasRoom(need(4800, 0), 1)).isTrue();
			first.addEvents(1);
			assertThat(RunnerMemoryTests.this.memory.hasRoom(need(4800, 0), 1)).isFalse();
			assertThat(RunnerMemoryTests.this.memory.hasRoom(need(4795, 0), 1)).isTrue();
		}

	}

	@Nested
	class RequestsOfOthers {

		@Test
		void countWithTheMeanUntilTheReportIsOutOfDate() {
			RunnerMemoryTests.this.memory.recordRequests(10, 1000);
			assertThat(RunnerMemoryTests.this.memory.hasRoom(need(900, 100), 1001)).isTrue();
			assertThat(RunnerMemoryTests.this.memory.hasRoom(need(901, 100), 1001)).isFalse();
			assertThat(RunnerMemoryTests.this.memory.hasRoom(need(901, 100), 2500)).isTrue();
		}

		// Guards against own requests that hide those of others, since the report is
		// older than they are.
		@Test
		void areNotReducedByOwnRequestsThatTheReportCannotContain() {
			RunnerMemoryTests.this.memory.reserve(need(1, 1), 0);
			RunnerMemoryTests.this.memory.reserve(need(1, 1), 900);
			RunnerMemoryTests.this.memory.recordRequests(3, 1000);
			assertThat(RunnerMemoryTests.this.memory.hasRoom(need(8000, 196), 1001)).isTrue();
			assertThat(RunnerMemoryTests.this.memory.hasRoom(need(8000, 197), 1001)).isFalse();
		}

	}

}
