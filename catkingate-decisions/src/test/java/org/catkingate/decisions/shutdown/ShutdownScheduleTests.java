package org.catkingate.decisions.shutdown;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link ShutdownSchedule} and {@link ResponseDurations}.
 */
class ShutdownScheduleTests {

	private static final long NOTICE_END = 2000;

	private static final long REQUESTS_END = 6750;

	private final ShutdownSchedule schedule = new ShutdownSchedule(0, NOTICE_END, REQUESTS_END, 7000);

	// Guards against a request that is sent after the notice and is in progress when the
	// requests are ended (LOST), whatever it was expected to take.
	@Property
	boolean afterTheNoticeNoRequestIsInProgressAtTheEnd(@ForAll @LongRange(min = NOTICE_END, max = 8000) long nowMillis,
			@ForAll @LongRange(min = 0, max = 20_000) long deadlineMillis,
			@ForAll @LongRange(min = 0, max = 20_000) long likelyMillis) {
		return !this.schedule.allows(deadlineMillis, likelyMillis, nowMillis) || deadlineMillis <= REQUESTS_END;
	}

	@Property
	boolean aRequestThatIsRejectedOnceIsNotAllowedLater(@ForAll @LongRange(min = 0, max = 8000) long nowMillis,
			@ForAll @LongRange(min = 0, max = 3000) long laterMillis,
			@ForAll @LongRange(min = 0, max = 20_000) long deadlineMillis,
			@ForAll @LongRange(min = 0, max = 20_000) long likelyMillis) {
		return this.schedule.allows(deadlineMillis, likelyMillis, nowMillis)
				|| !this.schedule.allows(deadlineMillis, likelyMillis, nowMillis + laterMillis);
	}

	@Test
	void inTheNoticePeriodARequestThatIsLikelyToEndInTimeIsAllowed() {
		assertThat(this.schedule.allows(10_000, 5000, 1750)).isTrue();
		assertThat(this.schedule.allows(10_000, 5000, 1751)).isFalse();
	}

	@Test
	void aRequestWhoseDeadlineComesFirstIsAllowed() {
		assertThat(this.schedule.allows(REQUESTS_END, 5000, 5000)).isTrue();
	}

	@Test
	void theTimesFollowEachOther() {
		assertThatIllegalArgumentException().isThrownBy(() -> new ShutdownSchedule(0, 2, 1, 3));
	}

	@Nested
	class RecentDurations {

		private final ResponseDurations durations = new ResponseDurations();

		private void record(int count, long durationMillis, long nowMillis) {
			for (int i = 0; i < count; i++) {
				this.durations.record(durationMillis, nowMillis);
			}
		}

		@Test
		void areNotEstimatedFromAFewResponses() {
			record(4, 100, 0);
			assertThat(this.durations.likelyMillis(0)).isEmpty();
		}

		@Test
		void areNotExceededByMostResponses() {
			record(90, 100, 0);
			record(10, 3000, 0);
			assertThat(this.durations.likelyMillis(0).getAsLong()).isBetween(3000L, 3300L);
		}

		// Guards against an estimate that still follows a load that is long gone.
		@Test
		void areForgottenAfterTwoWindows() {
			record(10, 3000, 0);
			record(10, 100, 31_000);
			assertThat(this.durations.likelyMillis(31_000).getAsLong()).isGreaterThanOrEqualTo(3000);
			assertThat(this.durations.likelyMillis(62_000).getAsLong()).isLessThan(120);
			assertThat(this.durations.likelyMillis(200_000)).isEmpty();
		}

	}

}
