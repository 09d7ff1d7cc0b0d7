package org.catkingate.decisions.memory;

import java.util.Optional;

import org.catkingate.model.registry.EngineProfile;

/**
 * The memory that a call needs at a runner of its service, in tokens, and what the
 * service publishes about it. Immutable and safe for use by any thread.
 *
 * @param promptTokens the length of the prompt
 * @param responseTokens the expected length of the response: the caller's maximum, or the
 * mean of the engine if the caller states none
 * @param tokensPerEvent the number of tokens in one event of a stream
 * @param meanRequestTokens the mean of a request, which stands for each request of other
 * gateways
 * @param capacityTokens the number of tokens that a runner holds for all its requests;
 * {@link Long#MAX_VALUE} if it is not published
 * @since 0.1
 */
public record MemoryNeed(long promptTokens, long responseTokens, int tokensPerEvent, long meanRequestTokens,
		long capacityTokens) {

	private static final MemoryNeed NONE = new MemoryNeed(0, 0, 1, 0, Long.MAX_VALUE);

	/**
	 * Returns the need of a call to a service that publishes no memory.
	 * @return the need, for which there is always room
	 */
	public static MemoryNeed none() {
		return NONE;
	}

	/**
	 * Returns the need of a call.
	 * @param promptTokens the length of the prompt; 0 if the caller does not state it
	 * @param maxResponseTokens the maximum length of the response; 0 if the caller does
	 * not state it
	 * @param engine the engine of the service, empty for a plain service
	 * @return the need, never null
	 */
	public static MemoryNeed of(long promptTokens, long maxResponseTokens, Optional<EngineProfile> engine) {
		return engine.filter((profile) -> profile.memoryTokens() != Long.MAX_VALUE).map((profile) -> {
			long meanPrompt = (long) Math.ceil(profile.meanPromptTokens());
			long meanResponse = (long) Math.ceil(profile.meanResponseTokens());
			return new MemoryNeed((promptTokens > 0) ? promptTokens : meanPrompt,
					(maxResponseTokens > 0) ? maxResponseTokens : meanResponse, profile.tokensPerEvent(),
					meanPrompt + meanResponse, profile.memoryTokens());
		}).orElse(NONE);
	}

	/**
	 * Returns whether a runner without any other request has room for the call.
	 * @return whether the call can be served at all
	 */
	public boolean fitsEmptyRunner() {
		return tokens() <= this.capacityTokens;
	}

	/**
	 * Returns the tokens of the call at the end of its response.
	 * @return prompt and response
	 */
	long tokens() {
		// the caller's maximum may be any number
		long sum = this.promptTokens + this.responseTokens;
		return (sum < 0) ? Long.MAX_VALUE : sum;
	}

}
