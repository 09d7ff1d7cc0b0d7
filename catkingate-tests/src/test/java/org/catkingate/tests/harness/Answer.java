package org.catkingate.tests.harness;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a caller got. Immutable.
 *
 * @param status the HTTP status, 0 if there was no answer or it broke off
 * @param body the body
 * @param outcome the header X-Catkingate-Outcome
 * @param retryAfter the header Retry-After
 * @param digest the header X-Weights-Digest
 * @param millis how long it took
 */
public record Answer(int status, String body, Optional<String> outcome, Optional<String> retryAfter,
		Optional<String> digest, long millis) {

	private static final Set<Integer> NOT_RUN = Set.of(429, 503);

	private static final String LAST_EVENT = "data: [DONE]";

	private static final Pattern TOKEN = Pattern.compile("\"text\":\"([^\"]*)\"");

	static Answer of(HttpResponse<byte[]> response, long millis) {
		return new Answer(response.statusCode(), new String(response.body(), StandardCharsets.UTF_8),
				response.headers().firstValue("X-Catkingate-Outcome"), response.headers().firstValue("Retry-After"),
				response.headers().firstValue("X-Weights-Digest"), millis);
	}

	static Answer broken(IOException cause, long millis) {
		return new Answer(0, String.valueOf(cause), Optional.empty(), Optional.empty(), Optional.empty(), millis);
	}

	public boolean isWhole() {
		return this.status >= 200 && this.status < 300;
	}

	public boolean isWholeStream() {
		return isWhole() && this.body.stripTrailing().endsWith(LAST_EVENT);
	}

	/**
	 * Tells whether the system says for certain that the request was not run.
	 */
	public boolean isRefusedNotRun() {
		return NOT_RUN.contains(this.status);
	}

	public boolean isOutcomeUnknown() {
		return this.outcome.filter("unknown"::equals).isPresent();
	}

	/**
	 * Returns the generated text, of a streamed answer or another.
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
