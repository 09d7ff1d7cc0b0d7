package org.catkingate.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;

import org.catkingate.runtime.MonotonicClock;

/**
 * Measures by how much the traffic thread runs periodic tasks too late. Connections of
 * other processes and reads of the registry are delayed at least as much on that thread.
 * Used by the traffic thread only.
 */
final class TrafficDelay {

	private static final Logger logger = LoggerFactory.getLogger(TrafficDelay.class);

	private static final long INTERVAL_MILLIS = 100;

	/** The delay that is logged: about that after which callers try another gateway. */
	private static final long LOGGED_DELAY_MILLIS = 500;

	private static final double MILLIS_PER_SECOND = 1000;

	private final XnioExecutor thread;

	private final MonotonicClock clock;

	private final DoubleConsumer delaySeconds;

	private long dueMillis;

	private TrafficDelay(XnioExecutor thread, MonotonicClock clock, DoubleConsumer delaySeconds) {
		this.thread = thread;
		this.clock = clock;
		this.delaySeconds = delaySeconds;
	}

	/**
	 * Starts to measure.
	 * @param thread the traffic thread
	 * @param clock the clock
	 * @param delaySeconds receives each measured delay, in seconds
	 */
	static void measure(XnioExecutor thread, MonotonicClock clock, DoubleConsumer delaySeconds) {
		new TrafficDelay(thread, clock, delaySeconds).schedule();
	}

	private void schedule() {
		this.dueMillis = this.clock.millis() + INTERVAL_MILLIS;
		this.thread.executeAfter(this::record, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void record() {
		long delayMillis = Math.max(0, this.clock.millis() - this.dueMillis);
		this.delaySeconds.accept(delayMillis / MILLIS_PER_SECOND);
		if (delayMillis >= LOGGED_DELAY_MILLIS) {
			logger.atWarn()
				.addKeyValue("event", "traffic-delayed")
				.addKeyValue("delay-ms", delayMillis)
				.log("the traffic thread is late; the process is overloaded or was suspended");
		}
		schedule();
	}

}
