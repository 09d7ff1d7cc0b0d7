package org.catkingate.decisions.limits;

import org.catkingate.model.published.ClientAccount;

/**
 * What a client account may use at one entry: an equal share of its limits over the
 * fleet, with some slack, since callers do not spread evenly. Immutable.
 *
 * @param requestsPerSecond requests started a second
 * @param concurrentRequests requests in progress
 * @param tokensPerSecond tokens generated a second
 * @since 0.1
 */
public record AccountShare(double requestsPerSecond, int concurrentRequests, double tokensPerSecond) {

	/** How much more than its equal share one entry lets an account use. */
	private static final double SLACK_FACTOR = 1.25;

	/** How many seconds of its rate an account may use at once. */
	private static final double BURST_SECONDS = 1.0;

	/**
	 * Works out the share of one entry.
	 * @param account the account with its limits over the fleet
	 * @param entries how many entries serve, at least 1
	 * @return the share, never null
	 */
	public static AccountShare of(ClientAccount account, int entries) {
		double part = (entries <= 1) ? 1 : SLACK_FACTOR / entries;
		int concurrent = (int) Math.ceil(account.concurrentRequests() * part);
		return new AccountShare(account.requestsPerSecond() * part, concurrent, account.tokensPerSecond() * part);
	}

	double requestBurst() {
		return Math.max(1, this.requestsPerSecond * BURST_SECONDS);
	}

	double tokenBurst() {
		return Math.max(1, this.tokensPerSecond * BURST_SECONDS);
	}

}
