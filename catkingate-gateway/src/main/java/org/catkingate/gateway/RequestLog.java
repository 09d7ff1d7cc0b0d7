package org.catkingate.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.admission.Choice;
import org.catkingate.model.ModelName;

/**
 * Gathers what was decided about one request, and logs it in one line at its end, so that
 * the volume is bounded by the number of requests. Used by one thread.
 */
final class RequestLog {

	private static final Logger logger = LoggerFactory.getLogger("org.catkingate.gateway.requests");

	private final List<String> decisions = new ArrayList<>(2);

	private final AdmittedRequest admitted;

	private RequestLog(AdmittedRequest admitted) {
		this.admitted = admitted;
	}

	static RequestLog of(AdmittedRequest admitted) {
		return new RequestLog(admitted);
	}

	void addChoice(Choice.Send send, Map<ModelName, Long> serving) {
		this.decisions.add("send " + send.runner() + " predicted-ms=" + Math.round(send.predictedMillis()) + " serving="
				+ serving);
	}

	void addResponseStart(RunnerAttempt attempt, long tookMillis) {
		this.decisions.add(attempt.runner().runner().id() + " begun after-ms=" + tookMillis);
	}

	void addRejection(Choice.Refuse refuse) {
		String predicted = Double.isNaN(refuse.predictedMillis()) ? "none"
				: String.valueOf(Math.round(refuse.predictedMillis()));
		this.decisions.add("refuse predicted-ms=" + predicted + " retry-after-ms=" + refuse.retryAfterMillis() + ": "
				+ refuse.reason());
	}

	void addAttemptEnd(RunnerAttempt attempt, String outcome, String reason) {
		this.decisions.add(attempt.runner().runner().id() + " " + outcome + (reason.isEmpty() ? "" : ": " + reason));
	}

	void write(String outcome, int status, long firstByteMillis, long wholeMillis) {
		logger.atInfo()
			.addKeyValue("event", "request")
			.addKeyValue("id", this.admitted.head().requestId())
			.addKeyValue("route", this.admitted.route().name())
			.addKeyValue("service", this.admitted.service())
			.addKeyValue("account", this.admitted.account())
			.addKeyValue("configuration", this.admitted.basis().configurationVersion())
			.addKeyValue("belief-age-ms", this.admitted.basis().ageMillis())
			.addKeyValue("prompt-tokens", this.admitted.head().promptTokens())
			.addKeyValue("allowed-ms", this.admitted.deadlineMillis() - this.admitted.arrivedAtMillis())
			.addKeyValue("decisions", this.decisions)
			.addKeyValue("outcome", outcome)
			.addKeyValue("status", status)
			.addKeyValue("first-byte-ms", firstByteMillis)
			.addKeyValue("whole-ms", wholeMillis)
			.log("a request has ended");
	}

	/**
	 * Logs a request that was refused before a runner was looked for.
	 * @param requestId its identity, null if it has none
	 * @param refusal what the caller is told
	 * @param belief what the decision rested on
	 */
	static void writeEarlyRejection(String requestId, Rejection refusal, AdmittedRequest.DecisionBasis belief) {
		logger.atInfo()
			.addKeyValue("event", "request-refused")
			.addKeyValue("id", requestId)
			.addKeyValue("configuration", belief.configurationVersion())
			.addKeyValue("belief-age-ms", belief.ageMillis())
			.addKeyValue("outcome", refusal.kind())
			.addKeyValue("status", refusal.kind().status())
			.addKeyValue("retry-after-ms", refusal.retryAfterMillis())
			.log(refusal.message());
	}

}
