package org.catkingate.decisions.registry;

import java.util.OptionalLong;

/**
 * The decision whether keys of client accounts can be checked against a copy of the
 * registry of some age, and when a rejected caller should come back. Immutable and safe
 * for use by any thread.
 *
 * @param maxAgeMillis the age of the copy up to which keys are accepted, in milliseconds
 * @since 0.1
 */
public record KeyAcceptance(long maxAgeMillis) {

	/**
	 * The delay for callers if other gateways may be in contact with the registry: enough
	 * to spread callers that are rejected at the same time.
	 */
	private static final long ELSEWHERE_RETRY_MILLIS = 20;

	/** The delay for callers if other gateways cannot check keys either. */
	private static final long OUTAGE_RETRY_MILLIS = 1000;

	/**
	 * Returns whether keys can be checked.
	 * @param ageMillis the age of this process's copy, in milliseconds
	 * @return whether keys are accepted
	 */
	public boolean canAccept(long ageMillis) {
		return ageMillis <= this.maxAgeMillis;
	}

	/**
	 * Returns after which time a caller that is rejected should come back. Its retry
	 * reaches another gateway.
	 * @param othersAgeMillis the lowest age that another gateway has lately reported,
	 * empty if none has
	 * @param draw a random number from 0 to 1
	 * @return the delay in milliseconds
	 */
	public long retryAfterMillis(OptionalLong othersAgeMillis, double draw) {
		boolean outage = othersAgeMillis.isPresent() && !canAccept(othersAgeMillis.getAsLong());
		return (long) ((outage ? OUTAGE_RETRY_MILLIS : ELSEWHERE_RETRY_MILLIS) * (1 + draw));
	}

}
