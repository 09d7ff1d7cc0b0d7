package org.catkingate.gateway;

/**
 * A request that was sent to one runner: what it adds to the work of the runner until its
 * end. Used by the traffic thread only.
 */
final class SentRequest {

	private final RunnerWork work;

	private final RequestCost cost;

	private final long promptTokens;

	private final long sentAtMillis;

	/** What this request contributes to the remaining length of the runner's work. */
	private double remainingLength;

	private boolean responding;

	/**
	 * Creates a request that its runner has not started.
	 * @param work the work of the runner
	 * @param cost the cost of the call; a resumed stream adds what it has to the prompt
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	SentRequest(RunnerWork work, RequestCost cost, long nowMillis) {
		this.work = work;
		this.cost = cost;
		cost.beginAttempt();
		this.promptTokens = cost.promptTokens();
		this.sentAtMillis = nowMillis;
		updateRemaining(cost.remainingLength());
	}

	long promptTokens() {
		return this.promptTokens;
	}

	/**
	 * Records that the first byte of the response has arrived.
	 * @param elapsedMillis the time since the start of the attempt, in milliseconds
	 */
	void startResponse(long elapsedMillis) {
		this.responding = true;
		this.work.startResponse(this.promptTokens, elapsedMillis);
	}

	/**
	 * Records a part of the response.
	 * @param bytes the part
	 */
	void recordData(byte[] bytes) {
		if (this.cost.addProduced(bytes)) {
			updateRemaining(this.cost.remainingLength());
		}
	}

	/**
	 * Ends the request and removes its work.
	 * @param complete whether its response is complete
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void end(boolean complete, long nowMillis) {
		updateRemaining(0);
		if (this.responding) {
			this.work.endResponse();
		}
		else {
			this.work.removePending(this.promptTokens);
		}
		if (complete) {
			this.cost.recordComplete(nowMillis - this.sentAtMillis);
		}
	}

	private void updateRemaining(double length) {
		this.work.changeRemainingLength(length - this.remainingLength);
		this.remainingLength = length;
	}

}
