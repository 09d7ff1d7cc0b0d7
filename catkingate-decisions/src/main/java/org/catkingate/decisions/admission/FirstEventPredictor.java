package org.catkingate.decisions.admission;

import org.catkingate.model.registry.EngineProfile;

/**
 * A predictor of the time until the first event of a new request. An engine works in
 * passes: each pass reads some tokens of waiting prompts and generates one event for
 * every request whose response has started. Stateless.
 */
final class FirstEventPredictor {

	private FirstEventPredictor() {
	}

	/**
	 * Predicts the time to the first event at a model engine: the wait for a free slot,
	 * on average half of the pass in progress, and the passes that read the pending
	 * prompts and the new one. These passes take the time to read the tokens and the time
	 * to generate events.
	 * @param engine the engine
	 * @param option the known state of the runner
	 * @param promptTokens the length of the new prompt, in tokens
	 * @return the predicted time in milliseconds
	 */
	static double predictWithEngineMillis(EngineProfile engine, RunnerOption option, double promptTokens) {
		double responding = Math.min(option.responding(), engine.slots());
		double passMillis = engine.tokensPerEvent()
				* (engine.stepMillis() + engine.stepMillisPerRequest() * responding);
		double tokens = option.pendingPromptTokens() + promptTokens;
		double passes = Math.ceil(tokens / engine.promptTokensPerStep());
		double untilSlotMillis = Math.max(0, option.responding() + option.pending() + 1 - engine.slots())
				* completionIntervalMillis(engine);
		return untilSlotMillis + passMillis / 2 + tokens / engine.promptTokensPerMilli() + passes * passMillis;
	}

	/**
	 * Returns the mean interval between two completed requests of an engine whose slots
	 * are all in use.
	 * @param engine the engine
	 * @return the interval in milliseconds
	 */
	static double completionIntervalMillis(EngineProfile engine) {
		double events = Math.max(1, engine.meanResponseTokens() / engine.tokensPerEvent());
		double decodingMillis = events * engine.tokensPerEvent()
				* (engine.stepMillis() + engine.stepMillisPerRequest() * engine.slots());
		return decodingMillis / engine.slots() + engine.meanPromptTokens() / engine.promptTokensPerMilli();
	}

	/**
	 * Predicts the response time at a service without an engine.
	 * @param option the known state of the runner
	 * @return the predicted time in milliseconds
	 */
	static double predictWithoutEngineMillis(RunnerOption option) {
		double requestsAhead = Math.max(0, option.responding() + option.pending() + 1 - option.slots());
		return option.responseStartMillis() * (1 + requestsAhead / option.slots());
	}

}
