package org.catkingate.decisions.permits;

/**
 * A runner's statement of how many requests a second it takes from all gateways together.
 * It was made between the sending of a request and the receipt of its response.
 * Immutable.
 *
 * @param requestsPerSecond the limit, {@link #NO_LIMIT} for none
 * @param requestedAtMillis when the request was sent, in monotonic milliseconds
 * @param receivedAtMillis when the response arrived, in monotonic milliseconds
 * @since 0.1
 */
public record LimitStatement(double requestsPerSecond, long requestedAtMillis, long receivedAtMillis) {

	/** The value that means that there is no limit. */
	public static final double NO_LIMIT = Double.POSITIVE_INFINITY;

	public LimitStatement {
		if (!(requestsPerSecond >= 0)) {
			throw new IllegalArgumentException("requestsPerSecond must not be negative");
		}
		if (requestedAtMillis > receivedAtMillis) {
			throw new IllegalArgumentException("a response must not arrive before its request is sent");
		}
	}

	/**
	 * Returns whether the runner has stated a limit.
	 * @return whether there is a limit
	 */
	public boolean isLimit() {
		return this.requestsPerSecond < NO_LIMIT;
	}

	/**
	 * Returns the statement in force if both were received. The later one is, if its
	 * request was sent after the other one had arrived. Otherwise their order is unknown,
	 * and the lower limit is in force.
	 * @param other the other statement of the same start of the runner
	 * @return the statement in force, never null
	 */
	public LimitStatement merge(LimitStatement other) {
		if (other.requestedAtMillis >= this.receivedAtMillis) {
			return other;
		}
		if (this.requestedAtMillis >= other.receivedAtMillis) {
			return this;
		}
		if (this.requestsPerSecond == other.requestsPerSecond) {
			return new LimitStatement(this.requestsPerSecond, Math.max(this.requestedAtMillis, other.requestedAtMillis),
					Math.max(this.receivedAtMillis, other.receivedAtMillis));
		}
		return (this.requestsPerSecond < other.requestsPerSecond) ? this : other;
	}

}
