package org.catkingate.gateway;

import java.util.Optional;

import org.catkingate.decisions.cost.CallCost;

/**
 * The cost of one call over all its attempts: what was expected, and what its responses
 * have produced so far. A response to a service with engines is measured in tokens, by
 * its events; one to another service in milliseconds. Used by the traffic thread only.
 */
final class RequestCost {

	private final long promptTokens;

	private final Optional<CallCost> expected;

	private final int tokensPerEvent;

	private final Recorder recorder;

	private double produced;

	private boolean complete;

	private EventCounter events = new EventCounter();

	/**
	 * Creates the cost of a call that has not been sent.
	 * @param promptTokens the length of the prompt, in tokens
	 * @param expected the expected cost, empty if decisions do not depend on it
	 * @param tokensPerEvent the tokens in each event of a stream, 0 if the response is
	 * not measured by events
	 * @param recorder learns from the end of the call
	 */
	RequestCost(long promptTokens, Optional<CallCost> expected, int tokensPerEvent, Recorder recorder) {
		this.promptTokens = promptTokens;
		this.expected = expected;
		this.tokensPerEvent = tokensPerEvent;
		this.recorder = recorder;
	}

	/**
	 * Returns the cost of a call without an estimate.
	 * @param promptTokens the length of the prompt, in tokens
	 * @return the cost, never null
	 */
	static RequestCost unknown(long promptTokens) {
		return new RequestCost(promptTokens, Optional.empty(), 0, Recorder.NONE);
	}

	/**
	 * Begins another attempt. What the last one has left of an incomplete event is not
	 * part of the response.
	 */
	void beginAttempt() {
		this.events = new EventCounter();
	}

	Optional<CallCost> expected() {
		return this.expected;
	}

	/**
	 * Returns the tokens that a runner has to read before it generates.
	 * @return the length of the prompt, and for a resumed stream of what it already has
	 */
	long promptTokens() {
		return this.promptTokens + (long) this.produced;
	}

	/**
	 * Returns what is expected to be left of the response.
	 * @return the length, 0 without an estimate
	 */
	double remainingLength() {
		return this.expected.map((cost) -> cost.length().remaining(this.produced)).orElse(0.0);
	}

	/**
	 * Counts the events that end in a part of a response. A closing event without tokens
	 * counts as well, which is less than the error of any estimate.
	 * @param bytes the part
	 * @return whether an event has ended
	 */
	boolean addProduced(byte[] bytes) {
		if (this.tokensPerEvent == 0) {
			return false;
		}
		int ended = this.events.add(bytes);
		this.produced += ended * this.tokensPerEvent;
		return ended > 0;
	}

	/**
	 * Records that the response is complete.
	 * @param elapsedMillis the time since the last attempt was sent, in milliseconds
	 */
	void recordComplete(long elapsedMillis) {
		this.complete = true;
		this.produced = (this.tokensPerEvent == 0) ? elapsedMillis : this.produced;
		if (this.produced > 0) {
			this.recorder.record(this.produced, true);
		}
	}

	/**
	 * Records the end of the call. A response that is not complete was cut.
	 */
	void end() {
		if (!this.complete && this.produced > 0) {
			this.recorder.record(this.produced, false);
		}
	}

	/**
	 * Learns from the end of a call.
	 */
	@FunctionalInterface
	interface Recorder {

		/** A recorder that ignores the call. */
		Recorder NONE = (produced, complete) -> {
		};

		/**
		 * Records the end of a call.
		 * @param produced the length of what was produced
		 * @param complete whether the response was complete
		 */
		void record(double produced, boolean complete);

	}

}
