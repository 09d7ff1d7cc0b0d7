package org.catkingate.decisions.shutdown;

import java.util.OptionalLong;

import org.HdrHistogram.Histogram;

/**
 * The durations of recent complete responses of one service, from the time at which a
 * request is sent to a runner. Observations count for one to two windows. Not safe for
 * use by several threads.
 *
 * @since 0.1
 */
public final class ResponseDurations {

	private static final long WINDOW_MILLIS = 30_000;

	/** Longer responses count as long as this. */
	private static final long MAX_MILLIS = 60_000;

	private static final int SIGNIFICANT_DIGITS = 1;

	private static final double LIKELY_PERCENTILE = 95;

	/** The number of observations below which nothing is estimated. */
	private static final int MIN_OBSERVATIONS = 5;

	private Histogram current = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);

	private Histogram previous = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);

	private long windowEndMillis = Long.MIN_VALUE;

	/**
	 * Records a complete response.
	 * @param durationMillis its duration in milliseconds
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void record(long durationMillis, long nowMillis) {
		rotate(nowMillis);
		this.current.recordValue(Math.max(0, Math.min(MAX_MILLIS, durationMillis)));
	}

	/**
	 * Returns the duration that most responses do not exceed.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the 95th percentile in milliseconds, empty without enough recent responses
	 */
	public OptionalLong likelyMillis(long nowMillis) {
		rotate(nowMillis);
		Histogram recent = this.current.copy();
		recent.add(this.previous);
		return (recent.getTotalCount() < MIN_OBSERVATIONS) ? OptionalLong.empty()
				: OptionalLong.of(recent.getValueAtPercentile(LIKELY_PERCENTILE));
	}

	private void rotate(long nowMillis) {
		if (nowMillis < this.windowEndMillis) {
			return;
		}
		Histogram cleared = this.previous;
		cleared.reset();
		this.previous = this.current;
		this.current = cleared;
		if (nowMillis >= this.windowEndMillis + WINDOW_MILLIS) {
			this.previous.reset();
		}
		this.windowEndMillis = nowMillis + WINDOW_MILLIS;
	}

}
