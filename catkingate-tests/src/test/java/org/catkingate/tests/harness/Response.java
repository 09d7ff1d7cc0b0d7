package org.catkingate.tests.harness;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The response that a caller received. Immutable.
 *
 * @param status the HTTP status, 0 if there was no response or it was truncated
 * @param body the body
 * @param outcome the header X-Catkingate-Outcome
 * @param retryAfter the header Retry-After
 * @param digest the header X-Weights-Digest
 * @param durationMillis the time from the request to the end of the response
 */
public record Response(int status, String body, Optional<String> outcome, Optional<String> retryAfter,
		Optional<String> digest, long durationMillis) {

	private static final Set<Integer> NOT_RUN_STATUSES = Set.of(429, 503);

	private static final String LAST_EVENT = "data: [DONE]";

	private static final Pattern TOKEN = Pattern.compile("\"text\":\"([^\"]*)\"");

	static Response of(HttpResponse<byte[]> response, long millis) {
		return new Response(response.statusCode(), new String(response.body(), StandardCharsets.UTF_8),
				response.headers().firstValue("X-Catkingate-Outcome"), response.headers().firstValue("Retry-After"),
				response.headers().firstValue("X-Weights-Digest"), millis);
	}

	static Response failed(IOException cause, long millis) {
		return new Response(0, String.valueOf(cause), Optional.empty(), Optional.empty(), Optional.empty(), millis);
	}

	public boolean isSuccessful() {
		return this.status >= 200 && this.status < 300;
	}

	public boolean isCompleteStream() {
		return isSuccessful() && this.body.stripTrailing().endsWith(LAST_EVENT);
	}

	/**
	 * Returns whether the status guarantees that the request was not run.
	 */
	public boolean isRejectedNotRun() {
		return NOT_RUN_STATUSES.contains(this.status);
	}

	public boolean isOutcomeUnknown() {
		return this.outcome.filter("unknown"::equals).isPresent();
	}

	/**
	 * Returns the generated text, whether the response was streamed or not.
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		Matcher matcher = TOKEN.matcher(this.body);
		while (matcher.find()) {
			text.append(matcher.group(1));
		}
		return text.toString();
	}

}
