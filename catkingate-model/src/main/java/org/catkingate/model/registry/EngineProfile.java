package org.catkingate.model.registry;

import java.util.List;

import org.catkingate.model.ModelName;

/**
 * The performance characteristics of the model engines of a service, and the number of
 * pieces of their weights. Immutable and safe for use by any thread.
 *
 * @param slots the number of requests that an engine processes at the same time
 * @param tokensPerEvent the number of tokens in one event of a stream
 * @param stepMillis the base duration of one step of a batch, in milliseconds
 * @param stepMillisPerRequest the additional duration of a step per request in the batch,
 * in milliseconds
 * @param stepMillisPerContextToken the additional duration of a step per token of context
 * of the requests in the batch, in milliseconds
 * @param promptTokensPerMilli the number of prompt tokens processed per millisecond
 * @param attentionMillisPerPair the additional time for processing a prompt per pair of a
 * token and an earlier one, in milliseconds
 * @param promptTokensPerStep the maximum number of prompt tokens processed in one step
 * @param meanPromptTokens the mean length of prompts, in tokens
 * @param meanResponseTokens the mean length of responses, in tokens
 * @param memoryTokens the number of tokens that the memory of an engine holds for all its
 * requests; {@link Long#MAX_VALUE} if it is not published
 * @param pieces the number of pieces into which the weights are divided
 * @param models the models that the service serves
 * @since 0.1
 */
public record EngineProfile(int slots, int tokensPerEvent, double stepMillis, double stepMillisPerRequest,
		double stepMillisPerContextToken, double promptTokensPerMilli, double attentionMillisPerPair,
		int promptTokensPerStep, double meanPromptTokens, double meanResponseTokens, long memoryTokens, int pieces,
		List<ModelName> models) {

	public EngineProfile {
		if (slots < 1 || tokensPerEvent < 1 || promptTokensPerStep < 1 || pieces < 0) {
			throw new IllegalArgumentException(
					"engine slots and token counts must be positive, and pieces must not be negative");
		}
		if (!(stepMillis > 0) || !(promptTokensPerMilli > 0)) {
			throw new IllegalArgumentException("engine step duration and prompt rate must be positive");
		}
		models = List.copyOf(models);
	}

	/**
	 * Returns the mean interval between two completed requests of an engine whose slots
	 * are all in use.
	 * @return the interval in milliseconds
	 */
	public double completionIntervalMillis() {
		double events = Math.max(1, this.meanResponseTokens / this.tokensPerEvent);
		double decodingMillis = events * this.tokensPerEvent
				* (this.stepMillis + this.stepMillisPerRequest * this.slots);
		return decodingMillis / this.slots + this.meanPromptTokens / this.promptTokensPerMilli;
	}

}
