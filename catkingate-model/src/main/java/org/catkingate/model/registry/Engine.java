package org.catkingate.model.registry;

import java.util.List;

import org.catkingate.model.ModelName;

/**
 * How fast the model engines of a service work, and how their weights are cut. Immutable
 * and safe for use by any thread.
 *
 * @param slots how many requests one engine works on at a time
 * @param tokensPerEvent how many tokens one event of a stream holds
 * @param stepMillis the time of one step of a batch, in milliseconds
 * @param stepMillisPerRequest what each request in the batch adds to a step, in
 * milliseconds
 * @param promptTokensPerMilli how many tokens of prompts are read in one millisecond
 * @param promptTokensPerStep how many tokens of prompts one step reads at most
 * @param usualPromptTokens the mean length of prompts, in tokens
 * @param usualAnswerTokens the mean length of answers, in tokens
 * @param pieces into how many pieces the weights are cut
 * @param models the models that the service serves
 * @since 0.1
 */
public record Engine(int slots, int tokensPerEvent, double stepMillis, double stepMillisPerRequest,
		double promptTokensPerMilli, int promptTokensPerStep, double usualPromptTokens, double usualAnswerTokens,
		int pieces, List<ModelName> models) {

	public Engine {
		if (slots < 1 || tokensPerEvent < 1 || promptTokensPerStep < 1 || pieces < 0) {
			throw new IllegalArgumentException("the slots and tokens of an engine must be positive");
		}
		if (!(stepMillis > 0) || !(promptTokensPerMilli > 0)) {
			throw new IllegalArgumentException("the times of an engine must be positive");
		}
		models = List.copyOf(models);
	}

}
