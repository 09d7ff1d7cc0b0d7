package org.catkingate.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A judge of the promises, from what callers and runners report. Breaches are recorded as
 * soon as they can be told. Knows no clock: all times are parts of reports, in
 * milliseconds of one monotonic clock. Safe for use by any thread.
 */
final class Judge {

	/** The time within which a withdrawn key must be out of use, in milliseconds. */
	static final long WITHDRAWAL_LIMIT_MILLIS = 5000;

	/** The time within which requests to a leaving runner must end, in milliseconds. */
	static final long LEAVING_LIMIT_MILLIS = 2000;

	/**
	 * The time within which a pause that a runner asks for takes effect, in milliseconds.
	 */
	static final long PAUSE_START_MILLIS = 500;

	/** The number of requests that may reach a runner during a pause it asked for. */
	static final int MAX_REQUESTS_IN_PAUSE = 2;

	/** The order of requests sent within this time is not known, in milliseconds. */
	static final long REVERSION_SLACK_MILLIS = 250;

	/** The same for a gateway whose process was suspended. */
	static final long DISTURBED_REVERSION_SLACK_MILLIS = 8 * REVERSION_SLACK_MILLIS;

	/**
	 * A disturbance counts for a gateway until this time after its end, in milliseconds.
	 */
	static final long CONTACT_MILLIS = 3000;

	/** The number of valid requests that may be denied, besides a share of all. */
	static final int MAX_DENIED = 5;

	static final int REQUESTS_PER_DENIED = 500;

	private final Map<String, SoakRequest> requests = new HashMap<>();

	private final Map<String, List<RunnerRun>> runsByRequest = new HashMap<>();

	private final Map<String, RunnerRun> runsBySignature = new HashMap<>();

	private final Map<String, Integer> rejections = new HashMap<>();

	private final Map<String, String> accountsByKey = new HashMap<>();

	private final Set<String> permanentKeys = new HashSet<>();

	private final Map<String, Long> withdrawnAtMillis = new HashMap<>();

	private final Map<String, TreeMap<Long, Long>> versionsSeen = new HashMap<>();

	private final Map<Link, Long> leavingSeenAtMillis = new HashMap<>();

	private final Map<Link, List<Pause>> pauses = new HashMap<>();

	private final Map<String, Long> disturbedUntilMillis = new HashMap<>();

	private final Map<String, Integer> outcomes = new TreeMap<>();

	private final List<Breach> breaches = new ArrayList<>();

	private final List<String> denials = new ArrayList<>();

	private final PlacementJudge placement = new PlacementJudge();

	private final ColdRunnerJudge coldRunners = new ColdRunnerJudge();

	private final UrgencyJudge urgency = new UrgencyJudge();

	private final LossJudge losses = new LossJudge();

	/**
	 * Reports a key of an account, before the first request with it.
	 */
	synchronized void keyIssued(String key, String account) {
		this.accountsByKey.put(key, account);
	}

	/**
	 * Reports that all configurations contain a key.
	 */
	synchronized void keyIsPermanent(String key) {
		this.permanentKeys.add(key);
	}

	/**
	 * Reports that the registry has accepted a configuration without a key.
	 */
	synchronized void keyWithdrawn(String key, long nowMillis) {
		this.withdrawnAtMillis.put(key, nowMillis);
	}

	/**
	 * Reports the data centre of a runner, before it can get requests.
	 */
	synchronized void runnerStarted(String runner, String dataCentre) {
		this.placement.runnerStarted(runner, dataCentre);
	}

	/**
	 * Reports that a runner is cold.
	 */
	synchronized void runnerCold(String runner, long untilMillis) {
		this.coldRunners.runnerCold(runner, untilMillis);
	}

	/**
	 * Reports the allowed regions of the next configuration, before the registry gets it.
	 */
	synchronized void regionsPublished(Map<RequestKind, Set<String>> routes, Map<String, Set<String>> accounts) {
		this.placement.regionsPublished(routes, accounts);
	}

	/**
	 * Reports that the registry has accepted that configuration.
	 */
	synchronized void regionsAccepted(long nowMillis) {
		this.placement.regionsAccepted(nowMillis);
	}

	/**
	 * Reports that the registry has accepted the evacuation of a data centre.
	 */
	synchronized void dataCentreEvacuated(String dataCentre, long nowMillis) {
		this.placement.evacuated(dataCentre, nowMillis);
	}

	/**
	 * Reports that the evacuation of a data centre ends, before the registry is told.
	 */
	synchronized void evacuationEnds(String dataCentre) {
		this.placement.evacuationEnds(dataCentre);
	}

	/**
	 * Reports the priority of an account whose requests are compared with those of
	 * others, before the first of them.
	 */
	synchronized void accountPriority(String account, int priority) {
		this.urgency.priority(account, priority);
	}

	/**
	 * Reports a request before its first byte is sent.
	 */
	synchronized void requestSent(SoakRequest request) {
		this.requests.put(request.id(), request);
	}

	/**
	 * Reports that the process of a gateway is suspended or resumed.
	 * @param untilMillis when it is resumed, {@link Long#MAX_VALUE} if that is not yet
	 * known
	 */
	synchronized void gatewaySuspended(String gateway, long untilMillis) {
		this.disturbedUntilMillis.put(gateway, untilMillis);
		this.pauses.keySet().removeIf((link) -> link.gateway().equals(gateway));
		this.leavingSeenAtMillis.keySet().removeIf((link) -> link.gateway().equals(gateway));
	}

	/**
	 * Reports that the link to a runner is disturbed, so that its responses may be lost.
	 * @param untilMillis when the disturbance ends, {@link Long#MAX_VALUE} if that is not
	 * yet known
	 */
	synchronized void runnerLinkDisturbed(String runner, long untilMillis) {
		this.disturbedUntilMillis.put(runner, untilMillis);
		this.pauses.keySet().removeIf((link) -> link.runner().equals(runner));
	}

	/**
	 * Reports that the process of a gateway is killed, before it is.
	 */
	synchronized void gatewayKilled(String gateway) {
		this.losses.gatewayKilled(gateway);
	}

	/**
	 * Reports that a gateway is told to shut down, before it is.
	 */
	synchronized void gatewayTerminated(String gateway, long nowMillis) {
		this.losses.gatewayTerminated(gateway, nowMillis);
	}

	/**
	 * Reports that the last byte of a request has been sent on a connection that the
	 * gateway reads.
	 */
	synchronized void requestCompletelySent(String requestId, long nowMillis) {
		this.losses.requestCompletelySent(requestId, nowMillis);
	}

	/**
	 * Reports that no other request is before one on its connection.
	 */
	synchronized void requestIsNext(String requestId, long nowMillis) {
		this.losses.requestIsNext(requestId, nowMillis);
	}

	/**
	 * Reports that a runner ends without notice, before it does.
	 */
	synchronized void runnerCrashed(String runner) {
		this.losses.runnerCrashed(runner);
	}

	/**
	 * Reports that a runner does not send a whole response to a request.
	 */
	synchronized void responseWithheld(String requestId) {
		this.losses.responseWithheld(requestId);
	}

	/**
	 * Reports the heap that a gateway occupies after a collection without requests.
	 */
	synchronized void heapMeasured(String gateway, long usedBytes, long maxBytes) {
		if (usedBytes > maxBytes / 2) {
			add(Promise.MEMORY,
					"%s occupies %d of %d bytes after a collection".formatted(gateway, usedBytes, maxBytes));
		}
	}

	private boolean isDisturbed(String processOrRunner, long nowMillis) {
		Long until = this.disturbedUntilMillis.get(processOrRunner);
		return until != null && (until == Long.MAX_VALUE || nowMillis < until + CONTACT_MILLIS);
	}

	/**
	 * Reports a request that has reached a runner, before the runner runs or rejects it.
	 */
	synchronized void requestArrived(String requestId, String runner, long nowMillis) {
		SoakRequest request = this.requests.get(requestId);
		if (request == null) {
			add(Promise.UNCHANGED_REQUEST, runner + " received request " + requestId + ", which no caller has sent");
			return;
		}
		this.losses.requestArrived(requestId, runner, nowMillis);
		this.placement.judge(request, this.accountsByKey.get(request.key()), runner).ifPresent(this.breaches::add);
		if (!isDisturbed(runner, nowMillis) && !isDisturbed(request.gateway(), nowMillis)) {
			this.coldRunners.judge(request, runner, nowMillis).ifPresent(this.breaches::add);
		}
		Link link = new Link(request.gateway(), runner);
		Long leavingMillis = this.leavingSeenAtMillis.get(link);
		if (leavingMillis != null && request.sentMillis() > leavingMillis + LEAVING_LIMIT_MILLIS) {
			add(Promise.LEAVING_RUNNER, "%s was sent %d ms after %s had passed on that %s leaves".formatted(request,
					request.sentMillis() - leavingMillis, request.gateway(), runner));
		}
		if (!isDisturbed(request.gateway(), nowMillis)) {
			countInPauses(request, link, nowMillis);
		}
	}

	private void countInPauses(SoakRequest request, Link link, long nowMillis) {
		List<Pause> open = this.pauses.getOrDefault(link, new ArrayList<>());
		open.removeIf((pause) -> nowMillis >= pause.endMillis());
		open.replaceAll((pause) -> (nowMillis >= pause.startMillis()) ? pause.withArrival() : pause);
		open.stream()
			.filter((pause) -> pause.arrivals() > MAX_REQUESTS_IN_PAUSE)
			.findFirst()
			.ifPresent(
					(pause) -> add(Promise.RUNNER_PAUSE, request + " reached " + link.runner() + " during " + pause));
	}

	/**
	 * Reports that a runner has rejected a request and asked for a pause.
	 */
	synchronized void pauseRequested(String requestId, String runner, long nowMillis, long pauseMillis) {
		SoakRequest request = this.requests.get(requestId);
		if (request != null && !isDisturbed(runner, nowMillis)) {
			this.pauses.computeIfAbsent(new Link(request.gateway(), runner), (link) -> new ArrayList<>())
				.add(new Pause(nowMillis + PAUSE_START_MILLIS, nowMillis + pauseMillis, 0));
		}
	}

	/**
	 * Reports a run before the first byte of its response is sent.
	 */
	synchronized void runStarted(RunnerRun run) {
		this.runsBySignature.put(run.signature(), run);
		List<RunnerRun> runs = this.runsByRequest.computeIfAbsent(run.requestId(), (id) -> new ArrayList<>());
		runs.add(run);
		SoakRequest request = this.requests.get(run.requestId());
		if (request == null) {
			return;
		}
		if (!request.kind().mayRunAgain()) {
			if (runs.size() > 1) {
				add(Promise.AT_MOST_ONCE, request + " runs again: " + runs);
			}
			if (this.rejections.containsKey(request.id())) {
				add(Promise.REJECTED_NOT_RUN,
						request + " was answered " + this.rejections.get(request.id()) + " and runs later: " + run);
			}
		}
		checkRequest(request, run);
		checkKey(request, run);
		if (request.kind() == RequestKind.PROBE) {
			checkVersion(request, run);
		}
		if (!run.wholeWeights()) {
			add(Promise.WHOLE_WEIGHTS, run + " for " + request);
		}
	}

	private void checkRequest(SoakRequest request, RunnerRun run) {
		if (!run.path().equals(request.path()) || !run.body().equals(request.body())
				|| !run.service().equals(request.kind().service())) {
			add(Promise.UNCHANGED_REQUEST, request + " was run as " + run);
		}
	}

	private void checkKey(SoakRequest request, RunnerRun run) {
		if (run.keyReceived() || !run.account().equals(this.accountsByKey.get(request.key()))) {
			add(Promise.UNCHANGED_REQUEST, request + " was run for another account or with its key: " + run);
		}
		Long withdrawn = this.withdrawnAtMillis.get(request.key());
		if (withdrawn != null && request.sentMillis() > withdrawn + WITHDRAWAL_LIMIT_MILLIS) {
			add(Promise.WITHDRAWN_KEY, "%s ran though its key was withdrawn %d ms before".formatted(request,
					request.sentMillis() - withdrawn));
		}
	}

	private void checkVersion(SoakRequest request, RunnerRun run) {
		long version = request.probedVersion();
		TreeMap<Long, Long> seen = this.versionsSeen.computeIfAbsent(request.gateway(), (gateway) -> new TreeMap<>());
		long slack = isDisturbed(request.gateway(), run.startedMillis()) ? DISTURBED_REVERSION_SLACK_MILLIS
				: REVERSION_SLACK_MILLIS;
		Map.Entry<Long, Long> newest = seen.lowerEntry(request.sentMillis() - slack);
		if (newest != null && newest.getValue() > version) {
			add(Promise.NO_REVERSION, "%s was handled by version %d, but version %d was in effect %d ms before"
				.formatted(request, version, newest.getValue(), request.sentMillis() - newest.getKey()));
		}
		Map.Entry<Long, Long> before = seen.floorEntry(run.startedMillis());
		if (before == null || before.getValue() < version) {
			seen.put(run.startedMillis(), version);
		}
	}

	/**
	 * Reports what a caller has received, after the end of the response.
	 */
	synchronized void responseReceived(String requestId, CallerResponse response, long nowMillis) {
		SoakRequest request = this.requests.get(requestId);
		this.outcomes.merge(request.kind() + " " + response.status() + (response.complete() ? "" : " incomplete"), 1,
				Integer::sum);
		this.urgency.responseReceived(request, this.accountsByKey.get(request.key()),
				response.isSuccess() && response.complete());
		if (!isDisturbed(request.gateway(), nowMillis)
				&& this.losses.runners(requestId).stream().noneMatch((runner) -> isDisturbed(runner, nowMillis))) {
			this.losses.judge(request, response, nowMillis).ifPresent(this.breaches::add);
		}
		RunnerRun run = this.runsBySignature.get(response.header("x-server-seal"));
		checkOrigin(request, response, run);
		if (response.isSuccess() && run != null) {
			if (request.kind().isStream()) {
				checkStream(request, response, run);
			}
			else if (response.complete() ? !response.body().equals(run.response())
					: !run.response().startsWith(response.body())) {
				add(Promise.OWN_RESPONSE, request + " got another body: " + response + " instead of " + run);
			}
		}
		if (response.statesNotRun()) {
			this.rejections.put(requestId, response.status());
			if (!request.kind().mayRunAgain() && this.runsByRequest.containsKey(requestId)) {
				add(Promise.REJECTED_NOT_RUN,
						request + " was answered " + response + " but ran: " + this.runsByRequest.get(requestId));
			}
		}
		if (!response.header("server-leaving").isEmpty() && run != null) {
			this.leavingSeenAtMillis.putIfAbsent(new Link(request.gateway(), run.runner()), nowMillis);
		}
		boolean denied = response.status() == 401 || response.status() == 403 || response.status() == 404;
		if (denied && request.kind() != RequestKind.PROBE && this.permanentKeys.contains(request.key())) {
			this.denials.add(request + " was answered " + response);
		}
	}

	private void checkOrigin(SoakRequest request, CallerResponse response, RunnerRun run) {
		String answeredId = response.header("x-request-id");
		if (response.status() == CallerResponse.MALFORMED) {
			add(Promise.OWN_RESPONSE, request + " got bytes that are not a response: " + response);
		}
		else if (!answeredId.isEmpty() && !answeredId.equals(request.id())) {
			add(Promise.OWN_RESPONSE, request + " got the response to another request: " + response);
		}
		else if (response.isSuccess() && run == null) {
			add(Promise.OWN_RESPONSE, request + " got a success that no runner has sent: " + response);
		}
		else if (run != null && (!run.requestId().equals(request.id()) || run.status() != response.status())) {
			add(Promise.OWN_RESPONSE, request + " got " + response + " with the signature of " + run);
		}
	}

	private void checkStream(SoakRequest request, CallerResponse response, RunnerRun first) {
		RunnerRun source = first;
		int number = 0;
		int last = Integer.MAX_VALUE;
		for (StreamEvents.Event event : StreamEvents.parse(response.body())) {
			if (!event.requestId().equals(request.id())) {
				add(Promise.OWN_RESPONSE, request + " got an event of another request or a broken one: " + event);
				return;
			}
			if (event.number() != number + 1) {
				add(Promise.EVENT_ORDER, "%s got event %d after event %d: %s".formatted(request, event.number(), number,
						response.body()));
				return;
			}
			if (!event.signature().equals(source.signature())) {
				source = this.runsBySignature.get(event.signature());
				if (source == null || !request.kind().isResumable() || source.resumesAfter() != number) {
					add(Promise.EVENT_ORDER, request + " got events of two runs: " + response.body());
					return;
				}
			}
			number = event.number();
			last = event.last();
		}
		if (response.complete() && (number != last || StreamEvents.endsInsideEvent(response.body()))) {
			add(Promise.EVENT_ORDER, "%s ended as complete after event %d: %s".formatted(request, number, response));
		}
	}

	/**
	 * Reports bytes on a connection that has no request waiting.
	 */
	synchronized void unexpectedBytes(String gateway, String bytes) {
		add(Promise.OWN_RESPONSE, gateway + " sent bytes that no request has asked for: " + bytes);
	}

	private void add(Promise promise, String description) {
		this.breaches.add(new Breach(promise, description));
	}

	/**
	 * Returns the breaches found so far.
	 */
	synchronized List<Breach> breaches() {
		List<Breach> all = new ArrayList<>(this.breaches);
		all.addAll(this.urgency.breaches());
		if (this.denials.size() > MAX_DENIED + this.requests.size() / REQUESTS_PER_DENIED) {
			this.denials.forEach((denial) -> all.add(new Breach(Promise.VALID_REQUEST_ADMITTED, denial)));
		}
		return all;
	}

	/**
	 * Returns the number of responses by kind of request and status.
	 */
	synchronized Map<String, Integer> outcomes() {
		return new TreeMap<>(this.outcomes);
	}

	private record Link(String gateway, String runner) {

	}

	private record Pause(long startMillis, long endMillis, int arrivals) {

		Pause withArrival() {
			return new Pause(this.startMillis, this.endMillis, this.arrivals + 1);
		}

	}

}
