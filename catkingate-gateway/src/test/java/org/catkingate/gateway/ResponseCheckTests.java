package org.catkingate.gateway;

import java.util.Optional;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Protocols;
import org.junit.jupiter.api.Test;

import org.catkingate.runtime.calls.RequestedPause;
import org.catkingate.runtime.calls.RunnerResponseHead;
import org.catkingate.runtime.calls.StatedLimit;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the check of the heads of runners' responses.
 */
class ResponseCheckTests {

	private static RunnerResponseHead metadata(String requestId, boolean signed) {
		return new RunnerResponseHead(requestId, signed, false, false, Optional.empty(), 0, false, RequestedPause.NONE,
				StatedLimit.NONE);
	}

	private static ClientResponse head(int status, String encoding) {
		HeaderMap headers = new HeaderMap();
		if (encoding != null) {
			headers.put(Headers.CONTENT_ENCODING, encoding);
		}
		return new ClientResponse(status, "", Protocols.HTTP_1_1, headers);
	}

	private static Optional<String> outcome(ResponseCheck check, RunnerResponseHead response, ClientResponse head) {
		return check.find(response, head, false).map(ResponseCheck.Flaw::outcome);
	}

	@Test
	void acceptsASignedFinalResponseToTheRequest() {
		ResponseCheck check = new ResponseCheck("r1", null, true);
		assertThat(outcome(check, metadata("r1", true), head(200, null))).isEmpty();
		assertThat(outcome(check, metadata("r1", true), head(500, " "))).isEmpty();
		assertThat(outcome(check, metadata("r1", true), head(200, "Identity"))).isEmpty();
	}

	@Test
	void findsResponsesThatAreNotTheRunnersFinalResponseToTheRequest() {
		ResponseCheck check = new ResponseCheck("r1", null, false);
		assertThat(outcome(check, metadata("r2", true), head(200, null))).contains("stray");
		assertThat(outcome(check, metadata(null, true), head(200, null))).contains("stray");
		assertThat(outcome(check, metadata("r1", false), head(200, null))).contains("unsigned");
		assertThat(outcome(check, metadata("r1", true), head(103, null))).contains("interim");
	}

	@Test
	void findsAnEncodingThatTheCallerHasNotAskedFor() {
		ClientResponse encoded = head(200, "gzip");
		assertThat(outcome(new ResponseCheck("r1", null, false), metadata("r1", true), encoded)).contains("encoded");
		assertThat(outcome(new ResponseCheck("r1", "identity", false), metadata("r1", true), encoded))
			.contains("encoded");
		assertThat(outcome(new ResponseCheck("r1", "gzip", false), metadata("r1", true), encoded)).isEmpty();
	}

	private static RunnerResponseHead rejection(String requestId) {
		return new RunnerResponseHead(requestId, false, true, false, Optional.empty(), 0, false, RequestedPause.NONE,
				StatedLimit.NONE);
	}

	// Guards against a late copy of the rejection of another request (REFUSED, TWICE).
	@Test
	void findsRejectionsThatMayBeThoseOfOtherRequests() {
		ResponseCheck check = new ResponseCheck("r1", null, false);
		assertThat(outcome(check, rejection("r1"), head(503, null))).isEmpty();
		assertThat(outcome(check, rejection("r2"), head(503, null))).contains("stray");
		assertThat(outcome(check, rejection(null), head(503, null))).contains("stray");
		assertThat(check.find(rejection(null), head(503, null), true)).isEmpty();
		assertThat(check.find(rejection("r2"), head(503, null), true)).isPresent();
		assertThat(outcome(check, rejection("r1"), head(103, null))).isPresent();
	}

	// Guards against a stream whose events cannot be told apart.
	@Test
	void findsAnyEncodingOfAStream() {
		assertThat(outcome(new ResponseCheck("r1", "gzip", true), metadata("r1", true), head(200, "gzip")))
			.contains("encoded");
	}

}
