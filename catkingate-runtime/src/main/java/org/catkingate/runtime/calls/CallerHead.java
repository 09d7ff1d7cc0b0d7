package org.catkingate.runtime.calls;

import java.util.List;
import java.util.Objects;

/**
 * The metadata that a caller sends in the headers of its request. Immutable and safe for
 * use by any thread; the string form does not contain the key.
 *
 * @param requestId the identifier of this attempt of the caller
 * @param key the caller's API key, null if it sent none
 * @param remainingMillis how long the caller still waits for the response, in
 * milliseconds; 0 if it is not sent
 * @param promptTokens the length of the prompt, in tokens; 0 if it is not sent
 * @param maxResponseTokens the maximum length of the response, in tokens; 0 if it is not
 * sent
 * @param estimatedResponseTokens the caller's estimate of the length of the response, in
 * tokens; 0 if it is not sent
 * @param sharedParts the identifiers of the parts of the prompt that other requests may
 * share, without the last part; empty if they are not sent or cannot be read
 * @since 0.1
 */
public record CallerHead(String requestId, String key, long remainingMillis, long promptTokens, long maxResponseTokens,
		long estimatedResponseTokens, List<String> sharedParts) {

	public CallerHead {
		Objects.requireNonNull(requestId, "requestId must not be null");
		sharedParts = List.copyOf(sharedParts);
	}

	@Override
	public String toString() {
		return "CallerHead[requestId=" + this.requestId + ", leftMillis=" + this.remainingMillis + "]";
	}

}
