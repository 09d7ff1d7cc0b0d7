package org.catkingate.decisions.sending;

import java.util.Comparator;

/**
 * The urgency of a call. The priority of the client account takes precedence over that of
 * the route. The most urgent value is the lowest. Immutable.
 *
 * @param accountPriority the priority of the account; 0 is the most urgent
 * @param routePriority the priority of the route; 0 is the most urgent
 * @since 0.1
 */
public record Urgency(int accountPriority, int routePriority) implements Comparable<Urgency> {

	private static final Comparator<Urgency> ORDER = Comparator.comparingInt(Urgency::accountPriority)
		.thenComparingInt(Urgency::routePriority);

	/**
	 * Returns the form for logs.
	 * @return the priorities of the account and of the route
	 */
	public String text() {
		return this.accountPriority + "/" + this.routePriority;
	}

	@Override
	public int compareTo(Urgency other) {
		return ORDER.compare(this, other);
	}

}
