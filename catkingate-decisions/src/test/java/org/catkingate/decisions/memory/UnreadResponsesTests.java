package org.catkingate.decisions.memory;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UnreadResponses}.
 */
class UnreadResponsesTests {

	private static final List<String> RESPONSES = List.of("a", "b", "c", "d", "e", "f", "g", "h");

	private final UnreadResponses<String> unread = new UnreadResponses<>(1000);

	// Guards against a caller that reads slowly being cut instead of one that reads
	// nothing, although it holds more.
	@Test
	void aboveTheBoundTheOneUnreadForTheLongestIsCut() {
		this.unread.record("silent", 300, 0, 100);
		this.unread.record("slow", 600, 0, 50);
		this.unread.record("slow", 600, 10, 200);
		this.unread.record("silent", 350, 0, 250);
		assertThat(this.unread.record("new", 100, 0, 300))
			.containsExactly(new UnreadResponses.Cut<>("silent", 350, 200));
		assertThat(this.unread.totalBytes()).isEqualTo(700);
	}

	// Guards against room that is lost with each response that has ended.
	@Test
	void endedAndReadResponsesLeaveNothing() {
		this.unread.record("a", 300, 0, 100);
		this.unread.record("b", 300, 0, 100);
		this.unread.record("a", 0, 300, 200);
		this.unread.remove("b");
		this.unread.remove("b");
		assertThat(this.unread.totalBytes()).isZero();
		assertThat(this.unread.shareBytes(256)).isEqualTo(1000);
	}

	// Guards against one response that takes the room of all others, and against reading
	// from a runner that stops while there is room.
	@Test
	void shareShrinksAsTheRoomDoesAndNeverBelowTheMinimum() {
		this.unread.record("a", 500, 0, 100);
		assertThat(this.unread.shareBytes(256)).isEqualTo(500);
		this.unread.record("b", 400, 0, 100);
		assertThat(this.unread.shareBytes(256)).isEqualTo(256);
	}

	// Guards against a sum above the bound, whatever the callers do.
	@Test
	void sumStaysWithinTheBound() {
		for (long seed = 0; seed < 100; seed++) {
			Random random = new Random(seed);
			Map<String, Long> held = new HashMap<>();
			for (int step = 0; step < 500; step++) {
				String response = RESPONSES.get(random.nextInt(RESPONSES.size()));
				long bytes = random.nextInt(1500);
				held.put(response, bytes);
				this.unread.record(response, bytes, random.nextInt(3), step)
					.forEach((cut) -> held.put(cut.response(), 0L));
				assertThat(held.values().stream().mapToLong(Long::longValue).sum()).as("seed %d", seed)
					.isEqualTo(this.unread.totalBytes())
					.isLessThanOrEqualTo(1000);
			}
			held.keySet().forEach(this.unread::remove);
		}
	}

}
