package org.catkingate.tests.requests;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.awaitility.Awaitility;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.catkingate.standins.raw.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of an agent and an entry whose runner sends bytes that are no complete response.
 */
class FaultyRunnerTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	/** More than the limits of the agent and the buffers of all sockets. */
	private static final long MAX_SENT_BYTES = 32L * 1024 * 1024;

	private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n";

	private static final RawServer.Response SOUND = new RawServer.Response(List.of(HEAD + "whole"), false);

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private CompletableFuture<HttpResponse<String>> post(LocalFleet fleet, String path) {
		return this.client.sendAsync(
				fleet.request(path).timeout(TIMEOUT).POST(HttpRequest.BodyPublishers.ofString("x")).build(),
				HttpResponse.BodyHandlers.ofString());
	}

	private static Stream<Arguments> partsOfAHead() {
		return Stream
			.of("HTTP/1.1", "HTTP/1.1 200", "HTTP/1.1 200 OK\r", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConten",
					"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
					"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", HEAD.substring(0, HEAD.length() - 4),
					HEAD.substring(0, HEAD.length() - 2), HEAD.substring(0, HEAD.length() - 1))
			.flatMap((part) -> Stream.of(RawServer.Ending.CLOSE, RawServer.Ending.RESET)
				.map((ending) -> Arguments.of(part, ending)));
	}

	// Guards against a caller that gets a 200 with an empty or short body, framed as
	// complete, since the runner closed inside the head (MIXED, ORDER).
	@ParameterizedTest
	@MethodSource("partsOfAHead")
	void aHeadThatBreaksOffIsAFailure(String part, RawServer.Ending ending) throws Exception {
		RawServer.Response response = new RawServer.Response(List.of(part), ending, 20);
		try (RawServer runner = RawServer.respondingWith(() -> response); LocalFleet fleet = LocalFleet.start()) {
			fleet.addPlain("ahd-1", runner.address());
			assertThat(post(fleet, "/purchases").get(TIMEOUT.toSeconds(), TimeUnit.SECONDS).statusCode())
				.isEqualTo(502);
			assertThat(post(fleet, "/lookups/1").get(TIMEOUT.toSeconds(), TimeUnit.SECONDS).statusCode())
				.isGreaterThanOrEqualTo(500);
		}
	}

	// Guards against an agent that keeps bytes that are no response until its memory is
	// used up, and with it the requests of other callers (LOST).
	@ParameterizedTest
	@CsvSource(delimiter = '|',
			value = { "HTTP/1.1 200 O | K", "x | x", "HTTP/1.1 200 OK#X-Long: | x", "HTTP/1.1 200 OK# | X-Again: x#",
					"'' | HTTP/1.1 100 Continue##", "HTTP/1.1 200 OK#Transfer-Encoding: chunked##5;x= | x",
					"HTTP/1.1 200 OK#Transfer-Encoding: chunked## | 0",
					"HTTP/1.1 200 OK#Transfer-Encoding: chunked##0# | X-Again: x#" })
	void bytesWithoutEndAreCutAtALimitWhileOthersAreServed(String start, String filler) throws Exception {
		RawServer.Response endless = RawServer.Response.withoutEnd(start.replace("#", "\r\n"),
				filler.replace("#", "\r\n"));
		try (RawServer runner = RawServer.respondingTo((request) -> isPurchase(request) ? endless : SOUND);
				LocalFleet fleet = LocalFleet.start()) {
			fleet.addPlain("ahd-1", runner.address());
			CompletableFuture<HttpResponse<String>> faulty = post(fleet, "/purchases");
			assertThat(post(fleet, "/lookups/1").get(TIMEOUT.toSeconds(), TimeUnit.SECONDS).body()).isEqualTo("whole");
			assertThat(isFailure(faulty)).isTrue();
			Awaitility.await().atMost(TIMEOUT).until(() -> runner.connectionsClosedByPeer() > 0);
			assertThat(runner.fillerBytes()).isLessThan(MAX_SENT_BYTES);
		}
	}

	private static boolean isPurchase(RawServer.Request request) {
		return request.head().contains("/purchases");
	}

	/*
	 * A response whose head was forwarded is broken off.
	 */
	private static boolean isFailure(CompletableFuture<HttpResponse<String>> response) throws Exception {
		return response
			.handle((complete, failure) -> (failure != null) ? failure.getCause() instanceof IOException
					: complete.statusCode() >= 500)
			.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
	}

}
