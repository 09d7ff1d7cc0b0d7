package org.catkingate.decisions.competition;

/**
 * A sum of amounts whose weight falls exponentially with their age. Not safe for use by
 * several threads.
 */
final class DecayingSum {

	private final double timeConstantMillis;

	private double sum;

	private long atMillis = Long.MIN_VALUE / 2;

	DecayingSum(double timeConstantMillis) {
		this.timeConstantMillis = timeConstantMillis;
	}

	void add(double amount, long nowMillis) {
		this.sum = value(nowMillis) + amount;
		this.atMillis = nowMillis;
	}

	double value(long nowMillis) {
		return this.sum * Math.exp(-Math.max(0, nowMillis - this.atMillis) / this.timeConstantMillis);
	}

}
