package org.catkingate.decisions.limits;

import org.catkingate.model.published.ClientAccount;

/**
 * The limits of a client account at one entry: an equal share of its limits for the whole
 * fleet, with some slack, since callers do not spread evenly over entries. Immutable.
 *
 * @param requestsPerSecond requests started per second
 * @param concurrentRequests maximum number of requests in progress
 * @param tokensPerSecond tokens generated per second
 * @since 0.1
 */
public record AccountShare(double requestsPerSecond, int concurrentRequests, double tokensPerSecond) {

	/** The factor by which the limit at one entry exceeds the equal share. */
	private static final double SLACK_FACTOR = 1.25;

	/** The capacity of the token buckets, in seconds of the account's rate. */
	private static final double BURST_SECONDS = 1.0;

	/**
	 * Computes the share of one entry.
	 * @param account the account with its limits for the whole fleet
	 * @param entries the number of entries that serve requests, at least 1
	 * @return the share, never null
	 */
	public static AccountShare of(ClientAccount account, int entries) {
		double fraction = (entries <= 1) ? 1 : SLACK_FACTOR / entries;
		int concurrent = (int) Math.ceil(account.concurrentRequests() * fraction);
		return new AccountShare(account.requestsPerSecond() * fraction, concurrent,
				account.tokensPerSecond() * fraction);
	}

	double requestBurst() {
		return Math.max(1, this.requestsPerSecond * BURST_SECONDS);
	}

	double tokenBurst() {
		return Math.max(1, this.tokensPerSecond * BURST_SECONDS);
	}

}
