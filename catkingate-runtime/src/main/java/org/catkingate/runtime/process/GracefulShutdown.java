package org.catkingate.runtime.process;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.shutdown.ShutdownSchedule;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.operators.Readiness;
import org.catkingate.runtime.settings.ProcessSettings;

/**
 * The graceful shutdown of a process: the readiness check fails first, then new requests
 * are rejected, then the process waits for requests in progress and closes. Safe for use
 * by any thread; only the first call to {@link #run} has an effect.
 *
 * @since 0.1
 */
public final class GracefulShutdown {

	private static final Logger logger = LoggerFactory.getLogger(GracefulShutdown.class);

	private static final long POLL_INTERVAL_MILLIS = 20;

	/**
	 * The time before the limit at which requests still in progress are ended, so that
	 * their callers receive the failures.
	 */
	private static final long ENDING_MILLIS = 250;

	private final ProcessSettings.Shutdown settings;

	private final Readiness readiness;

	private final MonotonicClock clock;

	private final AtomicBoolean started = new AtomicBoolean();

	private GracefulShutdown(ProcessSettings.Shutdown settings, Readiness readiness, MonotonicClock clock) {
		this.settings = settings;
		this.readiness = readiness;
		this.clock = clock;
	}

	/**
	 * Creates a shutdown that has not started.
	 * @param settings the notice period and the time limit
	 * @param readiness the readiness, which is the first to change
	 * @param clock the clock
	 * @return the shutdown, never null
	 */
	public static GracefulShutdown create(ProcessSettings.Shutdown settings, Readiness readiness,
			MonotonicClock clock) {
		Objects.requireNonNull(settings, "settings must not be null");
		Objects.requireNonNull(readiness, "readiness must not be null");
		return new GracefulShutdown(settings, readiness, clock);
	}

	/*
	 * All times count from the start, so that a busy process does not exceed the limit.
	 */
	private ShutdownSchedule createSchedule(long startMillis) {
		long noticeEndMillis = startMillis + this.settings.noticeMillis();
		long processEndMillis = noticeEndMillis + this.settings.limitMillis();
		return new ShutdownSchedule(startMillis, noticeEndMillis,
				processEndMillis - Math.min(ENDING_MILLIS, this.settings.limitMillis() / 4), processEndMillis);
	}

	/**
	 * Runs the shutdown and blocks until it is complete. New requests are rejected after
	 * the notice period; requests that are still in progress shortly before the time
	 * limit are ended, and aborted at the limit.
	 * @param announce receives the schedule, and announces to other processes that this
	 * one accepts no more requests
	 * @param rejectNew rejects new requests from now on
	 * @param inProgress counts the requests in progress
	 * @param endRequests ends the requests in progress, if possible with a response
	 * @param close closes all resources of the process
	 */
	public void run(Consumer<ShutdownSchedule> announce, Runnable rejectNew, RequestsInProgress inProgress,
			Runnable endRequests, Runnable close) {
		if (!this.started.compareAndSet(false, true)) {
			return;
		}
		ShutdownSchedule schedule = createSchedule(this.clock.millis());
		this.readiness.markStopping();
		announce.accept(schedule);
		logger.atInfo()
			.addKeyValue("event", "stopping")
			.addKeyValue("in-progress", inProgress.count())
			.log("shutting down: finishing requests in progress, new requests will be rejected");
		sleep(Math.max(0, schedule.noticeEndMillis() - this.clock.millis()));
		rejectNew.run();
		long unfinished = awaitEnd(inProgress, schedule.requestsEndMillis());
		if (unfinished > 0) {
			logger.atWarn()
				.addKeyValue("event", "ending-requests")
				.addKeyValue("in-progress", unfinished)
				.addKeyValue("details", inProgress.details())
				.log("the time for the shutdown is nearly over; ending the requests in progress");
			endRequests.run();
			unfinished = awaitEnd(inProgress, schedule.processEndMillis());
		}
		logger.atInfo()
			.addKeyValue("event", "stopped")
			.addKeyValue("cut-off", unfinished)
			.addKeyValue("details", inProgress.details())
			.addKeyValue("took-ms", this.clock.millis() - schedule.startMillis())
			.log("finished waiting for requests in progress; closing the process");
		close.run();
	}

	/*
	 * Returns the last count, since another one takes a long time in a busy process.
	 */
	private long awaitEnd(RequestsInProgress inProgress, long untilMillis) {
		long count = inProgress.count();
		while (count > 0 && this.clock.millis() < untilMillis) {
			sleep(POLL_INTERVAL_MILLIS);
			count = inProgress.count();
		}
		return count;
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * The requests in progress.
	 */
	@FunctionalInterface
	public interface RequestsInProgress {

		/**
		 * Counts the requests in progress.
		 * @return the number
		 */
		long count();

		/**
		 * Describes the requests for the log.
		 * @return the description, by name
		 */
		default Map<String, Object> details() {
			return Map.of();
		}

	}

}
