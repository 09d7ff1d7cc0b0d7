package org.catkingate.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A judge of the shares of requests that are served, by the priority of accounts that
 * differ in nothing else. Guarded by the lock of its judge.
 */
final class UrgencyJudge {

	/** The share by which a more urgent account may be served less often. */
	static final double TOLERANCE = 0.05;

	/** The number of requests of both accounts from which their shares are compared. */
	static final int MIN_REQUESTS = 100;

	/** Three standard deviations, so that chance is not taken for a breach. */
	private static final double DEVIATIONS = 3;

	private final Map<String, Integer> priorities = new HashMap<>();

	private final Map<String, Map<String, Share>> servedByService = new HashMap<>();

	void priority(String account, int priority) {
		this.priorities.put(account, priority);
	}

	void responseReceived(SoakRequest request, String account, boolean served) {
		if (this.priorities.containsKey(account)) {
			this.servedByService.computeIfAbsent(request.kind().service(), (service) -> new HashMap<>())
				.merge(account, new Share(1, served ? 1 : 0), Share::plus);
		}
	}

	List<Breach> breaches() {
		List<Breach> breaches = new ArrayList<>();
		this.servedByService
			.forEach((service, shares) -> shares.forEach((urgent, share) -> shares.forEach((other, otherShare) -> {
				if (this.priorities.get(urgent) < this.priorities.get(other) && share.isBelow(otherShare)) {
					breaches.add(new Breach(Promise.URGENCY, "of %s, %s is served less often (%s) than %s (%s)"
						.formatted(service, urgent, share, other, otherShare)));
				}
			})));
		return breaches;
	}

	/**
	 * The requests of one account to one service.
	 *
	 * @param requests the number of requests that got a response
	 * @param served the number of those that were served
	 */
	private record Share(int requests, int served) {

		Share plus(Share other) {
			return new Share(this.requests + other.requests, this.served + other.served);
		}

		boolean isBelow(Share other) {
			double common = (double) (this.served + other.served) / (this.requests + other.requests);
			double deviation = Math.sqrt(common * (1 - common) * (1.0 / this.requests + 1.0 / other.requests));
			return Math.min(this.requests, other.requests) >= MIN_REQUESTS && (double) this.served
					/ this.requests < (double) other.served / other.requests - TOLERANCE - DEVIATIONS * deviation;
		}

	}

}
