package org.catkingate.decisions.admission;

import org.catkingate.model.registry.Engine;

/**
 * Predicts when the first event of a new request would come. An engine works in passes:
 * each reads some tokens of waiting prompts and makes one event for every request that is
 * being answered. Stateless.
 */
final class FirstEventPredictor {

	private FirstEventPredictor() {
	}

	/**
	 * Predicts for a model engine.
	 * @param engine the engine
	 * @param option what is known of the runner
	 * @param promptTokens the length of the new prompt, in tokens
	 * @return the time in milliseconds
	 */
	static double engineMillis(Engine engine, RunnerOption option, double promptTokens) {
		double answering = Math.min(option.answering(), engine.slots());
		double answerPass = engine.tokensPerEvent() * (engine.stepMillis() + engine.stepMillisPerRequest() * answering);
		double tokens = option.startingPromptTokens() + promptTokens;
		double passes = Math.ceil(tokens / engine.promptTokensPerStep());
		double untilSlot = Math.max(0, option.answering() + option.starting() + 1 - engine.slots())
				* completionIntervalMillis(engine);
		return untilSlot + answerPass / 2 + tokens / engine.promptTokensPerMilli() + passes * answerPass;
	}

	/**
	 * Tells how often a full engine ends a request.
	 * @param engine the engine
	 * @return the time from one end to the next, in milliseconds
	 */
	static double completionIntervalMillis(Engine engine) {
		double events = Math.max(1, engine.usualAnswerTokens() / engine.tokensPerEvent());
		double decoding = events * engine.tokensPerEvent()
				* (engine.stepMillis() + engine.stepMillisPerRequest() * engine.slots());
		return decoding / engine.slots() + engine.usualPromptTokens() / engine.promptTokensPerMilli();
	}

	/**
	 * Predicts for a plain service.
	 * @param option what is known of the runner
	 * @return the time in milliseconds
	 */
	static double plainMillis(RunnerOption option) {
		double ahead = Math.max(0, option.answering() + option.starting() + 1 - option.slots());
		return option.workMillis() * (1 + ahead / option.slots());
	}

}
