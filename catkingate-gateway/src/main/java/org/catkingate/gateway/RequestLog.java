package org.catkingate.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.admission.AdmissionDecision;
import org.catkingate.decisions.prompts.PromptVerdict;
import org.catkingate.model.ModelName;

/**
 * A collector of the decisions about one request, which logs them in one line when the
 * request has ended, so that the volume of the log is bounded by the number of requests.
 * Not safe for use by several threads.
 */
final class RequestLog {

	private static final Logger logger = LoggerFactory.getLogger("org.catkingate.gateway.requests");

	private final List<String> decisions = new ArrayList<>(2);

	private final AdmittedRequest admitted;

	private long waitedMillis;

	private RequestLog(AdmittedRequest admitted) {
		this.admitted = admitted;
	}

	static RequestLog of(AdmittedRequest admitted) {
		return new RequestLog(admitted);
	}

	void addSend(AdmissionDecision.Send send, Map<ModelName, Long> serving, String inputs, long elapsedMillis) {
		this.decisions.add("send " + send.runner() + " predicted-ms=" + Math.round(send.predictedMillis()) + " serving="
				+ serving + (inputs.isEmpty() ? "" : " " + inputs) + " after-ms=" + elapsedMillis);
	}

	void addResponseStart(RunnerAttempt attempt, long elapsedMillis) {
		this.decisions.add(attempt.runner().runner().id() + " begun after-ms=" + elapsedMillis);
	}

	void addWait(AdmissionDecision.Wait wait) {
		this.decisions.add("wait max-ms=" + wait.maxMillis() + " on-time-ms=" + wait.onTimeMillis() + ": "
				+ switch (wait.cause()) {
					case LOADING -> "most runners load weights";
					case PERMIT -> "the limits of the runners are used up";
					case PLACE -> wait.otherwise().reason();
				});
	}

	void addWaitEnd(AdmissionDecision.Wait.Cause cause, long millis, String outcome) {
		this.waitedMillis = millis;
		this.decisions.add("waited ms=" + millis + " for=" + cause.name().toLowerCase(Locale.ROOT) + " " + outcome);
	}

	void addRejection(AdmissionDecision.Reject reject) {
		String predicted = Double.isNaN(reject.predictedMillis()) ? "none"
				: String.valueOf(Math.round(reject.predictedMillis()));
		this.decisions.add("refuse predicted-ms=" + predicted + " retry-after-ms=" + reject.retryAfterMillis() + ": "
				+ reject.reason());
	}

	void addQuarantine(PromptVerdict verdict) {
		this.decisions
			.add("quarantined part=" + verdict.part() + " remaining-ms=" + Math.max(0, verdict.remainingMillis()));
	}

	void addAttemptEnd(RunnerAttempt attempt, String outcome, String reason) {
		this.decisions.add(attempt.runner().runner().id() + " " + outcome + (reason.isEmpty() ? "" : ": " + reason));
	}

	/**
	 * Logs the request.
	 * @param outcome how it ended
	 * @param status the HTTP status, 0 if there is none
	 * @param firstByteMillis the time until the first byte of the response, in
	 * milliseconds, negative if there is none
	 * @param totalMillis the time until the end, in milliseconds
	 * @param inShutdownMillis the time between the beginning of the shutdown and the
	 * arrival, in milliseconds, empty if the request arrived before
	 */
	void write(String outcome, int status, long firstByteMillis, long totalMillis, OptionalLong inShutdownMillis) {
		logger.atInfo()
			.addKeyValue("event", "request")
			.addKeyValue("id", this.admitted.head().requestId())
			.addKeyValue("route", this.admitted.route().name())
			.addKeyValue("service", this.admitted.service())
			.addKeyValue("account", this.admitted.account())
			.addKeyValue("urgency", this.admitted.urgency().text())
			.addKeyValue("waited-ms", this.waitedMillis)
			.addKeyValue("configuration", this.admitted.basis().configurationVersion())
			.addKeyValue("belief-age-ms", this.admitted.basis().ageMillis())
			.addKeyValue("prompt-tokens", this.admitted.head().promptTokens())
			.addKeyValue("allowed-ms", this.admitted.deadlineMillis() - this.admitted.arrivedAtMillis())
			.addKeyValue("decisions", this.decisions)
			.addKeyValue("outcome", outcome)
			.addKeyValue("status", status)
			.addKeyValue("first-byte-ms", firstByteMillis)
			.addKeyValue("whole-ms", totalMillis)
			.addKeyValue("in-shutdown-ms", valueOf(inShutdownMillis))
			.log("request ended");
	}

	/**
	 * Logs a request that was rejected before a runner was chosen.
	 * @param requestId the id of the request, null if it has none
	 * @param rejection the rejection that is sent to the caller
	 * @param basis the configuration that the decision is based on
	 * @param inShutdownMillis the time between the beginning of the shutdown and the
	 * arrival, in milliseconds, empty if the request arrived before
	 */
	static void writeEarlyRejection(String requestId, Rejection rejection, AdmittedRequest.DecisionBasis basis,
			OptionalLong inShutdownMillis) {
		logger.atInfo()
			.addKeyValue("event", "request-refused")
			.addKeyValue("id", requestId)
			.addKeyValue("configuration", basis.configurationVersion())
			.addKeyValue("belief-age-ms", basis.ageMillis())
			.addKeyValue("outcome", rejection.kind())
			.addKeyValue("status", rejection.kind().status())
			.addKeyValue("retry-after-ms", rejection.retryAfterMillis())
			.addKeyValue("in-shutdown-ms", valueOf(inShutdownMillis))
			.log(rejection.message());
	}

	/**
	 * Logs a request that ended without an outcome, or whose response the caller's
	 * connection has not taken.
	 * @param request the request
	 * @param reason the reason
	 * @param totalMillis the time since its arrival, in milliseconds
	 */
	static void writeCutOff(OpenRequest request, String reason, long totalMillis) {
		logger.atInfo()
			.addKeyValue("event", "request-cut-off")
			.addKeyValue("id", request.requestId())
			.addKeyValue("phase", request.phase().text())
			.addKeyValue("reason", reason)
			.addKeyValue("outcome", request.outcome())
			.addKeyValue("sent-bytes", request.sentBytes())
			.addKeyValue("whole-ms", totalMillis)
			.addKeyValue("in-shutdown-ms", valueOf(request.inShutdownMillis()))
			.log("the caller has not got a complete response");
	}

	private static Long valueOf(OptionalLong millis) {
		return millis.isPresent() ? millis.getAsLong() : null;
	}

}
