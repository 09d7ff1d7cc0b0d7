package org.catkingate.runtime.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import org.catkingate.runtime.operators.Readiness;
import org.catkingate.runtime.settings.ProcessSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the time limit of {@link GracefulShutdown} in a process whose I/O thread is so
 * busy that each count of the requests in progress takes a long time. Only the counts
 * advance the clock.
 */
class GracefulShutdownLimitTests {

	private static final long COUNT_MILLIS = 500;

	private static final long LIMIT_MILLIS = 5000;

	private static final long REQUESTS_END_MILLIS = 4750;

	private final AtomicLong nowMillis = new AtomicLong();

	private final AtomicLong requestsEndedAtMillis = new AtomicLong();

	private final AtomicLong closedAtMillis = new AtomicLong();

	private long countSlowly() {
		this.nowMillis.addAndGet(COUNT_MILLIS);
		return 1;
	}

	// Guards against a process that is killed at the end of its grace period, before its
	// callers have a response and its log is written (LOST).
	@Test
	void isExceededByNoMoreThanOneCountOfRequests() {
		GracefulShutdown
			.create(new ProcessSettings.Shutdown(0, LIMIT_MILLIS), Readiness.starting(),
					() -> TimeUnit.MILLISECONDS.toNanos(this.nowMillis.get()))
			.run((schedule) -> {
			}, () -> {
			}, this::countSlowly, () -> this.requestsEndedAtMillis.set(this.nowMillis.get()),
					() -> this.closedAtMillis.set(this.nowMillis.get()));
		assertThat(this.requestsEndedAtMillis.get()).isBetween(REQUESTS_END_MILLIS, REQUESTS_END_MILLIS + COUNT_MILLIS);
		assertThat(this.closedAtMillis.get()).isBetween(LIMIT_MILLIS, LIMIT_MILLIS + COUNT_MILLIS);
	}

}
