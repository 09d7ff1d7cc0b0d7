package org.catkingate.runtime.process;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

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

	/**
	 * Runs the shutdown and blocks until it is complete. New requests are rejected after
	 * the notice period; requests that are still in progress at the time limit are
	 * aborted.
	 * @param announce announces to other processes that this one accepts no more requests
	 * @param rejectNew rejects new requests from now on
	 * @param inProgress returns the number of requests in progress
	 * @param close closes all resources of the process
	 */
	public void run(Runnable announce, Runnable rejectNew, LongSupplier inProgress, Runnable close) {
		if (!this.started.compareAndSet(false, true)) {
			return;
		}
		this.readiness.markStopping();
		announce.run();
		logger.atInfo()
			.addKeyValue("event", "stopping")
			.addKeyValue("in-progress", inProgress.getAsLong())
			.log("shutting down: finishing requests in progress, new requests will be rejected");
		sleep(this.settings.noticeMillis());
		rejectNew.run();
		long deadline = this.clock.millis() + this.settings.limitMillis();
		while (inProgress.getAsLong() > 0 && this.clock.millis() < deadline) {
			sleep(POLL_INTERVAL_MILLIS);
		}
		logger.atInfo()
			.addKeyValue("event", "stopped")
			.addKeyValue("cut-off", inProgress.getAsLong())
			.log("finished waiting for requests in progress; closing the process");
		close.run();
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
