package org.catkingate.runtime.calls;

import java.util.Objects;

/**
 * What a caller says of its call. Immutable and safe for use by any thread; its text form
 * does not show the key.
 *
 * @param requestId identifies this attempt of the caller
 * @param key the caller's key, null if it sent none
 * @param leftMillis how long the caller waits, in milliseconds; 0 if it does not say
 * @param promptTokens the length of the prompt, in tokens; 0 if it does not say
 * @param maxResponseTokens the longest answer, in tokens; 0 if it does not say
 * @since 0.1
 */
public record CallerHead(String requestId, String key, long leftMillis, long promptTokens, long maxResponseTokens) {

	public CallerHead {
		Objects.requireNonNull(requestId, "requestId must not be null");
	}

	@Override
	public String toString() {
		return "CallerHead[requestId=" + this.requestId + ", leftMillis=" + this.leftMillis + "]";
	}

}
