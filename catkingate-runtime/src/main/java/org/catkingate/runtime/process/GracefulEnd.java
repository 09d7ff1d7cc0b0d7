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
 * The order in which a process ends. Safe for use by any thread; only the first call to
 * {@link #run} does anything.
 *
 * @since 0.1
 */
public final class GracefulEnd {

	private static final Logger logger = LoggerFactory.getLogger(GracefulEnd.class);

	private static final long POLL_INTERVAL_MILLIS = 20;

	private final ProcessSettings.Shutdown settings;

	private final Readiness readiness;

	private final MonotonicClock clock;

	private final AtomicBoolean started = new AtomicBoolean();

	private GracefulEnd(ProcessSettings.Shutdown settings, Readiness readiness, MonotonicClock clock) {
		this.settings = settings;
		this.readiness = readiness;
		this.clock = clock;
	}

	/**
	 * Describes an end that has not begun.
	 * @param settings the times
	 * @param readiness is turned first
	 * @param clock the clock
	 * @return the end, never null
	 */
	public static GracefulEnd with(ProcessSettings.Shutdown settings, Readiness readiness, MonotonicClock clock) {
		Objects.requireNonNull(settings, "settings must not be null");
		Objects.requireNonNull(readiness, "readiness must not be null");
		return new GracefulEnd(settings, readiness, clock);
	}

	/**
	 * Carries the end out, blocking.
	 * @param announce says that no more work should come
	 * @param refuse refuses new work from now on
	 * @param inProgress counts the requests in progress
	 * @param close closes everything
	 */
	public void run(Runnable announce, Runnable refuse, LongSupplier inProgress, Runnable close) {
		if (!this.started.compareAndSet(false, true)) {
			return;
		}
		this.readiness.stopping();
		announce.run();
		logger.atInfo()
			.addKeyValue("event", "stopping")
			.addKeyValue("in-progress", inProgress.getAsLong())
			.log("the process takes no more work soon and finishes what it holds");
		sleep(this.settings.noticeMillis());
		refuse.run();
		long deadline = this.clock.millis() + this.settings.limitMillis();
		while (inProgress.getAsLong() > 0 && this.clock.millis() < deadline) {
			sleep(POLL_INTERVAL_MILLIS);
		}
		logger.atInfo()
			.addKeyValue("event", "stopped")
			.addKeyValue("cut-off", inProgress.getAsLong())
			.log("the process ends");
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
