package org.catkingate.decisions.admission;

import org.catkingate.decisions.cost.RunnerBacklog;
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
				* engine.completionIntervalMillis();
		return untilSlotMillis + passMillis / 2 + tokens / engine.promptTokensPerMilli() + passes * passMillis;
	}

	/**
	 * Predicts the time to the first event at a model engine from the work that is left
	 * there: until a slot is free, the requests ahead generate their remaining responses
	 * in all slots side by side. The pending prompts, which are read meanwhile, count
	 * once.
	 * @param engine the engine
	 * @param option the known state of the runner
	 * @param backlog the work that is left there
	 * @param promptTokens the length of the new prompt, in tokens
	 * @return the predicted time in milliseconds
	 */
	static double predictWithBacklogMillis(EngineProfile engine, RunnerOption option, RunnerBacklog backlog,
			double promptTokens) {
		double requests = option.responding() + option.pending();
		double untilSlotMillis = 0;
		if (requests + 1 > engine.slots()) {
			double remainingTokens = backlog.responseLength() / requests;
			untilSlotMillis = (requests + 1 - engine.slots()) * remainingTokens * stepMillis(engine, engine.slots())
					/ engine.slots();
		}
		double passMillis = engine.tokensPerEvent() * stepMillis(engine, Math.min(option.responding(), engine.slots()));
		double tokens = option.pendingPromptTokens() + promptTokens;
		double passes = Math.ceil(tokens / engine.promptTokensPerStep());
		double attentionMillis = engine.attentionMillisPerPair() / 2
				* (promptTokens * promptTokens + option.pendingPromptTokens() * engine.meanPromptTokens());
		return backlog.slowdown() * (untilSlotMillis + passMillis / 2 + tokens / engine.promptTokensPerMilli()
				+ attentionMillis + passes * passMillis);
	}

	/**
	 * Predicts the time from the first event to the last one.
	 * @param engine the engine
	 * @param option the known state of the runner
	 * @param backlog the work that is left there
	 * @param responseTokens the expected length of the response, in tokens
	 * @return the predicted time in milliseconds
	 */
	static double predictGenerationMillis(EngineProfile engine, RunnerOption option, RunnerBacklog backlog,
			double responseTokens) {
		double running = Math.min(option.responding() + option.pending() + 1, engine.slots());
		return backlog.slowdown() * responseTokens * stepMillis(engine, running);
	}

	// half of a response, on average, has been generated and belongs to the context
	private static double stepMillis(EngineProfile engine, double running) {
		return engine.stepMillis() + running * (engine.stepMillisPerRequest()
				+ engine.stepMillisPerContextToken() * (engine.meanPromptTokens() + engine.meanResponseTokens() / 2));
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

	/**
	 * Predicts the time of one call at a service without an engine, from the work that is
	 * left at the runner. The time without queueing is the mean of that of the route and
	 * that of the runner, since runners need not state that they are slow.
	 * @param option the known state of the runner
	 * @param backlog the work that is left there
	 * @param routeMillis the expected time of the route's calls, in milliseconds
	 * @return the predicted time in milliseconds
	 */
	static double predictWithoutEngineMillis(RunnerOption option, RunnerBacklog backlog, double routeMillis) {
		double requests = option.responding() + option.pending();
		double waitMillis = (requests + 1 > option.slots())
				? (requests + 1 - option.slots()) * backlog.responseLength() / requests / option.slots() : 0;
		return backlog.slowdown() * waitMillis + (routeMillis + option.responseStartMillis()) / 2;
	}

}
