package org.catkingate.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A judge of whether requests that reached a runner, or a gateway that is shut down, are
 * answered. Not thread-safe.
 */
final class LossJudge {

	/** The time that a gateway has for a shutdown, in milliseconds. */
	static final long GRACE_MILLIS = 8000;

	/** The time after that in which the end of a connection is judged. */
	private static final long AFTER_GRACE_MILLIS = 1000;

	/** Requests sent until then may be cut in the last sixth of the shutdown. */
	private static final long NOTICED_MILLIS = 3000;

	private static final long LAST_SIXTH_MILLIS = GRACE_MILLIS * 5 / 6;

	/** A request that was sent within this time before the end may not have been read. */
	static final long UNREAD_MILLIS = 200;

	/**
	 * The time after the deadline of a request within which it must be answered, in
	 * milliseconds.
	 */
	private static final long ANSWER_SLACK_MILLIS = 1000;

	private final Map<String, Set<String>> runnersByRequest = new HashMap<>();

	private final Map<String, Long> arrivedAtMillis = new HashMap<>();

	private final Map<String, Long> readableAtMillis = new HashMap<>();

	private final Map<String, Long> terminatedAtMillis = new HashMap<>();

	private final Set<String> excusedRequests = new HashSet<>();

	private final Set<String> crashedRunners = new HashSet<>();

	private final Set<String> killedGateways = new HashSet<>();

	void requestArrived(String requestId, String runner, long nowMillis) {
		this.runnersByRequest.computeIfAbsent(requestId, (id) -> new HashSet<>()).add(runner);
		this.arrivedAtMillis.put(requestId, nowMillis);
	}

	void requestCompletelySent(String requestId, long nowMillis) {
		this.readableAtMillis.put(requestId, nowMillis);
	}

	/**
	 * Records that a request can be read from now on, since no other one is before it.
	 */
	void requestIsNext(String requestId, long nowMillis) {
		this.readableAtMillis.computeIfPresent(requestId, (id, millis) -> nowMillis);
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

	/**
	 * Records the signal that begins a shutdown. Later ones change nothing.
	 */
	void gatewayTerminated(String gateway, long nowMillis) {
		this.terminatedAtMillis.putIfAbsent(gateway, nowMillis);
	}

	Set<String> runners(String requestId) {
		return this.runnersByRequest.getOrDefault(requestId, Set.of());
	}

	/**
	 * Judges the response to a request whose gateway and runners are not disturbed.
	 */
	Optional<Breach> judge(SoakRequest request, CallerResponse response, long nowMillis) {
		Set<String> runners = runners(request.id());
		if (response.complete() || this.excusedRequests.contains(request.id())
				|| this.killedGateways.contains(request.gateway())
				|| runners.stream().anyMatch(this.crashedRunners::contains)) {
			return Optional.empty();
		}
		Long terminatedMillis = this.terminatedAtMillis.get(request.gateway());
		boolean lost = runners.isEmpty() ? wasRead(request, terminatedMillis, nowMillis)
				: !isLate(request, response, nowMillis) && !couldNotEnd(request, terminatedMillis, nowMillis);
		return lost
				? Optional.of(new Breach(Promise.ANSWERED,
						"%s reached %s and ended after %d ms without a whole response, its gateway terminated at %s: %s"
							.formatted(request, runners, nowMillis - request.sentMillis(), terminatedMillis, response)))
				: Optional.empty();
	}

	private static boolean isLate(SoakRequest request, CallerResponse response, long nowMillis) {
		long elapsedMillis = nowMillis - request.sentMillis();
		boolean unanswered = response.status() == CallerResponse.NONE
				&& elapsedMillis > request.deadlineMillis() + ANSWER_SLACK_MILLIS;
		return elapsedMillis >= request.deadlineMillis() && !unanswered;
	}

	/*
	 * A runner was at work near the end of the shutdown, on a request from before all
	 * could have learned of it.
	 */
	private boolean couldNotEnd(SoakRequest request, Long terminatedMillis, long nowMillis) {
		if (terminatedMillis == null || request.sentMillis() > terminatedMillis + NOTICED_MILLIS) {
			return false;
		}
		long lastSixthMillis = terminatedMillis + LAST_SIXTH_MILLIS;
		return nowMillis >= lastSixthMillis
				&& this.arrivedAtMillis.get(request.id()) + request.workMillis() >= lastSixthMillis;
	}

	private boolean wasRead(SoakRequest request, Long terminatedMillis, long nowMillis) {
		Long readableMillis = this.readableAtMillis.get(request.id());
		return terminatedMillis != null && readableMillis != null && nowMillis >= terminatedMillis
				&& nowMillis <= terminatedMillis + GRACE_MILLIS + AFTER_GRACE_MILLIS
				&& nowMillis > readableMillis + UNREAD_MILLIS
				&& nowMillis - request.sentMillis() < request.deadlineMillis();
	}

}
