package org.catkingate.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A judge of whether requests that reached a runner are answered. Not thread-safe.
 */
final class LossJudge {

	/**
	 * The time after the deadline of a request within which it must be answered, in
	 * milliseconds.
	 */
	private static final long ANSWER_SLACK_MILLIS = 1000;

	private final Map<String, Set<String>> runnersByRequest = new HashMap<>();

	private final Set<String> excusedRequests = new HashSet<>();

	private final Set<String> crashedRunners = new HashSet<>();

	private final Set<String> killedGateways = new HashSet<>();

	void requestArrived(String requestId, String runner) {
		this.runnersByRequest.computeIfAbsent(requestId, (id) -> new HashSet<>()).add(runner);
	}

	/**
	 * Records that the runner of a request does not send a whole response.
	 */
	void responseWithheld(String requestId) {
		this.excusedRequests.add(requestId);
	}

	void runnerCrashed(String runner) {
		this.crashedRunners.add(runner);
	}

	void gatewayKilled(String gateway) {
		this.killedGateways.add(gateway);
	}

	Set<String> runners(String requestId) {
		return this.runnersByRequest.getOrDefault(requestId, Set.of());
	}

	/**
	 * Judges the response to a request whose gateway and runners are not disturbed.
	 */
	Optional<Breach> judge(SoakRequest request, CallerResponse response, long nowMillis) {
		Set<String> runners = runners(request.id());
		if (response.complete() || runners.isEmpty() || this.excusedRequests.contains(request.id())
				|| this.killedGateways.contains(request.gateway())
				|| runners.stream().anyMatch(this.crashedRunners::contains)) {
			return Optional.empty();
		}
		long elapsedMillis = nowMillis - request.sentMillis();
		boolean unanswered = response.status() == CallerResponse.NONE
				&& elapsedMillis > SoakCallers.DEADLINE_MILLIS + ANSWER_SLACK_MILLIS;
		return (elapsedMillis < SoakCallers.DEADLINE_MILLIS || unanswered) ? Optional
			.of(new Breach(Promise.ANSWERED, "%s reached %s and ended after %d ms without a whole response: %s"
				.formatted(request, runners, elapsedMillis, response))) : Optional.empty();
	}

}
