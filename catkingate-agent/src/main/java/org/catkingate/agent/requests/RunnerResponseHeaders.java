package org.catkingate.agent.requests;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.catkingate.decisions.idempotency.StoredResponse;
import org.catkingate.model.Digest;
import org.catkingate.wire.RequestMessage;

/**
 * Evaluation and conversion of the headers of a runner's response. Stateless.
 */
final class RunnerResponseHeaders {

	private static final String DIGEST_HEADER = "X-Weights-Digest";

	private static final String RETRY_AFTER_HEADER = "Retry-After";

	private static final long DEFAULT_RETRY_AFTER_MILLIS = 1000;

	private static final int MULTIPLE_CHOICES = 300;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private RunnerResponseHeaders() {
	}

	/**
	 * Returns whether a response was produced with the expected weights. A successful
	 * response must name them; any other response must not name others.
	 * @param expected the digest of the weights; null for a plain service
	 * @param status the HTTP status
	 * @param headers the headers
	 * @return whether the response may be passed on
	 */
	static boolean matchesWeights(Digest expected, int status, List<RequestMessage.Header> headers) {
		if (expected == null) {
			return true;
		}
		Optional<String> named = first(headers, DIGEST_HEADER);
		return (named.isPresent()) ? named.get().equals(expected.hex()) : status >= MULTIPLE_CHOICES;
	}

	/**
	 * Returns whether an engine rejected a request without running it.
	 * @param status the HTTP status
	 * @return whether it had no free slot
	 */
	static boolean isRejection(int status) {
		return status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
	}

	static long retryAfterMillis(List<RequestMessage.Header> headers) {
		try {
			return first(headers, RETRY_AFTER_HEADER).map(Long::parseLong)
				.map(TimeUnit.SECONDS::toMillis)
				.orElse(DEFAULT_RETRY_AFTER_MILLIS);
		}
		catch (NumberFormatException ex) {
			return DEFAULT_RETRY_AFTER_MILLIS;
		}
	}

	private static Optional<String> first(List<RequestMessage.Header> headers, String name) {
		return headers.stream()
			.filter((header) -> header.name().equalsIgnoreCase(name))
			.map(RequestMessage.Header::value)
			.findFirst();
	}

	static List<StoredResponse.Header> toStoredHeaders(List<RequestMessage.Header> headers) {
		return headers.stream().map((header) -> new StoredResponse.Header(header.name(), header.value())).toList();
	}

	static List<RequestMessage.Header> toMessageHeaders(List<StoredResponse.Header> headers) {
		return headers.stream().map((header) -> new RequestMessage.Header(header.name(), header.value())).toList();
	}

}
