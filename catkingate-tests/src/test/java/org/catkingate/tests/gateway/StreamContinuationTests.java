package org.catkingate.tests.gateway;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.catkingate.model.registry.CallKind;
import org.catkingate.standins.raw.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of streams that a runner breaks off after the caller has received a part of them.
 * The caller must either receive the rest of the events or detect that they are missing.
 */
class StreamContinuationTests {

	private static final String SIGNED = "X-Request-Id: " + RawServer.REQUEST_ID_PLACEHOLDER
			+ "\r\nX-Server-Seal: a.b\r\n";

	private static final String EVENT_STREAM = SIGNED + "Content-Type: text/event-stream\r\n";

	private static final String STREAM_HEAD = "HTTP/1.1 200 OK\r\n" + EVENT_STREAM
			+ "Transfer-Encoding: chunked\r\n\r\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static String httpChunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

	private static String event(int id) {
		return "id: " + id + "\ndata: x\n\n";
	}

	private static RawServer.Response brokenOff(String... parts) {
		return new RawServer.Response(List.of(parts), true);
	}

	/**
	 * Sends one request to a gateway whose two runners take the responses from one queue.
	 */
	private static String request(RawServer.Response first, RawServer.Response second) throws Exception {
		Queue<RawServer.Response> responses = new ConcurrentLinkedQueue<>(List.of(first, second));
		try (RawServer one = RawServer.respondingWith(responses::poll);
				RawServer other = RawServer.respondingWith(responses::poll);
				TestGateway gateway = TestGateway.start(CallKind.STREAM, one.address(), other.address());
				RawCaller caller = gateway.connect()) {
			String response = caller.post("r1", "/songs/1", "hello").readResponse();
			assertThat(responses).as("responses that no runner was asked for").isEmpty();
			return response;
		}
	}

	private static void assertBrokenOffAfterTwoEvents(String response) {
		assertThat(response).startsWith("HTTP/1.1 200 ")
			.containsOnlyOnce("id: 1\n")
			.containsOnlyOnce("id: 2\n")
			.doesNotContain("id: 4\n")
			.doesNotContain("unusable")
			.doesNotContain("\r\n" + LAST_CHUNK)
			.endsWith("<closed>");
	}

	@Nested
	class AStartedStream {

		// Guards against a stream that ends as complete because the runner that should
		// have resumed it responded with a failure or with something else than its rest.
		@ParameterizedTest
		@EnumSource(Unusable.class)
		void isNotContinuedByAResponseThatIsNotItsRest(Unusable unusable) throws Exception {
			RawServer.Response first = brokenOff(STREAM_HEAD + httpChunk(event(1)) + httpChunk(event(2)),
					"20\r\nid: 3\nda");
			assertBrokenOffAfterTwoEvents(request(first, unusable.response));
		}

		// Guards against events that the caller receives twice: without an id, a runner
		// cannot be told where to resume.
		@Test
		void isNotContinuedIfItsEventsHaveNoIds() throws Exception {
			String event = httpChunk("data: x\n\n");
			RawServer.Response first = brokenOff(STREAM_HEAD + event + event, "20\r\ndata");
			try (RawServer runner = RawServer.respondingWith(() -> first);
					RawServer other = RawServer.respondingWith(() -> first);
					TestGateway gateway = TestGateway.start(CallKind.STREAM, runner.address(), other.address());
					RawCaller caller = gateway.connect()) {
				String response = caller.post("r1", "/songs/1", "hello").readResponse();
				assertThat(response.split("data: x", -1)).hasSize(3);
				assertThat(response).endsWith("<closed>");
			}
		}

		// Guards against a run that ends before the events that the caller has, taken for
		// the end of the stream, and against joining the events of two runs.
		@Test
		void isNotContinuedByARunThatStartsFromTheBeginning() throws Exception {
			RawServer.Response first = brokenOff(STREAM_HEAD + httpChunk(event(1)) + httpChunk(event(2)), "20\r\nid: ");
			for (String events : List.of(event(1), event(1) + event(2) + event(3), event(2) + event(3))) {
				RawServer.Response second = new RawServer.Response(
						List.of(STREAM_HEAD + httpChunk(events) + LAST_CHUNK), false);
				assertThat(request(first, second)).as(events)
					.containsOnlyOnce("id: 1\n")
					.containsOnlyOnce("id: 2\n")
					.doesNotContain("id: 3\n")
					.endsWith("<closed>");
			}
		}

		// Guards against missing events where only one event came before the break.
		@Test
		void isNotContinuedAfterOneEventByALeap() throws Exception {
			RawServer.Response second = new RawServer.Response(
					List.of(STREAM_HEAD + httpChunk(event(5) + event(6)) + LAST_CHUNK), false);
			assertThat(request(brokenOff(STREAM_HEAD + httpChunk(event(1))), second)).containsOnlyOnce("id: 1\n")
				.doesNotContain("id: 5\n")
				.endsWith("<closed>");
		}

		// Guards against an event without data that the caller receives twice.
		@Test
		void isContinuedAfterItsLastEventWithAnIdAlsoIfThatHasNoData() throws Exception {
			String mark = "event: mark\nid: 2\n\n";
			Queue<RawServer.Response> responses = new ConcurrentLinkedQueue<>(
					List.of(brokenOff(STREAM_HEAD + httpChunk(event(1) + mark), "20\r\nid: "),
							brokenOff(STREAM_HEAD + httpChunk(event(3)) + LAST_CHUNK)));
			try (RawServer one = RawServer.respondingWith(responses::poll);
					RawServer other = RawServer.respondingWith(responses::poll);
					TestGateway gateway = TestGateway.start(CallKind.STREAM, one.address(), other.address());
					RawCaller caller = gateway.connect()) {
				assertThat(caller.post("r1", "/songs/1", "hello").readResponse()).containsOnlyOnce("event: mark")
					.containsOnlyOnce("id: 3\n")
					.endsWith("\r\n" + LAST_CHUNK);
				assertThat(one.requestHeads().get(0) + other.requestHeads().get(0))
					.containsOnlyOnce("Last-Event-Id: 2\r\n");
			}
		}

		@Test
		void isCompleteIfNothingFollowsItsLastEvent() throws Exception {
			RawServer.Response first = brokenOff(STREAM_HEAD + httpChunk(event(1)) + httpChunk(event(2)));
			RawServer.Response second = new RawServer.Response(List.of(STREAM_HEAD + LAST_CHUNK), false);
			assertThat(request(first, second)).containsOnlyOnce("id: 2\n").endsWith("\r\n" + LAST_CHUNK);
		}

	}

	@Nested
	class AStreamInWhichSomethingElseStandsInPlaceOfAChunk {

		// Guards against a stream that ends as complete where its runner puts the head of
		// another response, or text, in the middle of it (ORDER, MIXED).
		@ParameterizedTest
		@EnumSource(Intrusion.class)
		void isContinuedByAnotherRunner(Intrusion intrusion) throws Exception {
			RawServer.Response first = new RawServer.Response(
					List.of(STREAM_HEAD + httpChunk(event(1)) + httpChunk(event(2)), intrusion.bytes), false);
			RawServer.Response second = new RawServer.Response(List.of(STREAM_HEAD + httpChunk(event(3)) + LAST_CHUNK),
					false);
			assertThat(request(first, second)).containsOnlyOnce("id: 1\n")
				.containsOnlyOnce("id: 2\n")
				.containsOnlyOnce("id: 3\n")
				.doesNotContain("unusable")
				.endsWith("\r\n" + LAST_CHUNK);
		}

		// Guards against the same in the part that another runner adds.
		@ParameterizedTest
		@EnumSource(Intrusion.class)
		void isVisiblyIncompleteIfItsContinuationHasItToo(Intrusion intrusion) throws Exception {
			RawServer.Response second = new RawServer.Response(
					List.of(STREAM_HEAD + httpChunk(event(3)), intrusion.bytes), false);
			assertThat(request(brokenOff(STREAM_HEAD + httpChunk(event(1)) + httpChunk(event(2))), second))
				.containsOnlyOnce("id: 3\n")
				.doesNotContain("unusable")
				.doesNotContain("\r\n" + LAST_CHUNK)
				.endsWith("<closed>");
		}

		// Guards against an empty stream that ends as complete.
		@ParameterizedTest
		@EnumSource(Intrusion.class)
		void isServedByAnotherRunnerIfItHasNoEvent(Intrusion intrusion) throws Exception {
			for (List<String> parts : List.of(List.of(STREAM_HEAD, intrusion.bytes),
					List.of(STREAM_HEAD + intrusion.bytes))) {
				RawServer.Response second = new RawServer.Response(
						List.of(STREAM_HEAD + httpChunk(event(1)) + LAST_CHUNK), false);
				assertThat(request(new RawServer.Response(parts, false), second)).as("%s parts", parts.size())
					.startsWith("HTTP/1.1 200 ")
					.containsOnlyOnce("id: 1\n")
					.endsWith("\r\n" + LAST_CHUNK);
			}
		}

		// Guards against the same for a response that is no stream.
		@ParameterizedTest
		@EnumSource(Intrusion.class)
		void isNotForwardedAsAWholeBody(Intrusion intrusion) throws Exception {
			String start = "HTTP/1.1 200 OK\r\n" + SIGNED + "Transfer-Encoding: chunked\r\n\r\n" + httpChunk("part");
			try (RawServer runner = RawServer.respondingWith(start, intrusion.bytes);
					TestGateway gateway = TestGateway.start(CallKind.NON_IDEMPOTENT, runner.address());
					RawCaller caller = gateway.connect()) {
				assertThat(caller.post("r1", "/songs/1", "hello").readResponse()).startsWith("HTTP/1.1 502 ")
					.doesNotContain("unusable");
			}
		}

	}

	@Nested
	class AStreamWithNeitherALengthNorChunks {

		private static final String UNDELIMITED_HEAD = "HTTP/1.1 200 OK\r\n" + EVENT_STREAM
				+ "Connection: close\r\n\r\n";

		// Guards against a stream that is empty because its runner ended behind the head,
		// and reaches the caller as complete.
		@Test
		void isNotCompleteBeforeItsFirstEvent() throws Exception {
			RawServer.Response second = new RawServer.Response(List.of(STREAM_HEAD + httpChunk(event(1)) + LAST_CHUNK),
					false);
			assertThat(request(brokenOff(UNDELIMITED_HEAD), second)).containsOnlyOnce("id: 1\n")
				.endsWith("\r\n" + LAST_CHUNK);
		}

		// Guards against a stream of comments only that ends as complete with its
		// connection.
		@Test
		void isNotCompleteIfItHasOnlyComments() throws Exception {
			try (RawServer runner = RawServer.respondingAndClosing(UNDELIMITED_HEAD + ": ping\n\n");
					TestGateway gateway = TestGateway.start(CallKind.STREAM, runner.address());
					RawCaller caller = gateway.connect()) {
				assertThat(caller.post("r1", "/songs/1", "hello").readResponse()).doesNotContain("\r\n" + LAST_CHUNK)
					.endsWith("<closed>");
			}
		}

		@Test
		void isNotCompleteInsideAnEvent() throws Exception {
			RawServer.Response first = brokenOff(UNDELIMITED_HEAD + event(1), "id: 2\nda");
			RawServer.Response second = brokenOff(UNDELIMITED_HEAD + event(2));
			assertThat(request(first, second)).containsOnlyOnce("id: 1\n")
				.containsOnlyOnce("id: 2\n")
				.endsWith("\r\n" + LAST_CHUNK);
		}

		@Test
		void isCompleteIfItsConnectionEndsBetweenEvents() throws Exception {
			try (RawServer runner = RawServer.respondingAndClosing(UNDELIMITED_HEAD + event(1), event(2));
					TestGateway gateway = TestGateway.start(CallKind.STREAM, runner.address());
					RawCaller caller = gateway.connect()) {
				assertThat(caller.post("r1", "/songs/1", "hello").readResponse()).containsOnlyOnce("id: 2\n")
					.endsWith("\r\n" + LAST_CHUNK);
			}
		}

	}

	@Nested
	class TheStreamOfOneRunner {

		private static String respondWith(String events) throws Exception {
			try (RawServer runner = RawServer.respondingWith(STREAM_HEAD + httpChunk(events) + LAST_CHUNK);
					TestGateway gateway = TestGateway.start(CallKind.STREAM, runner.address());
					RawCaller caller = gateway.connect()) {
				return caller.post("r1", "/songs/1", "hello").readResponse();
			}
		}

		// Guards against events that are lost because their ids do not increase.
		@Test
		void isForwardedCompletelyWhateverItsIdsAre() throws Exception {
			String events = event(5) + "id: 5\ndata: second\n\n" + "id: 7\ndata: third\nid: 2\n\n"
					+ "id: 3\ndata: fourth\n\n";
			assertThat(respondWith(events)).contains(events).endsWith("\r\n" + LAST_CHUNK);
		}

		// Guards against a complete stream that is cut since an empty line follows it.
		@Test
		void isCompleteIfEmptyLinesFollowItsLastEvent() throws Exception {
			assertThat(respondWith(event(1) + "\r\n")).contains(event(1)).endsWith("\r\n" + LAST_CHUNK);
		}

	}

	/**
	 * What a runner may put in place of a chunk.
	 */
	enum Intrusion {

		HEAD("HTTP/1.1 500 Error\r\nContent-Length: 8\r\n\r\nunusable"),

		WHOLE_RESPONSE("HTTP/1.1 200 OK\r\n" + EVENT_STREAM + "Transfer-Encoding: chunked\r\n\r\n"
				+ httpChunk("unusable") + LAST_CHUNK),

		TEXT("unusable text\r\n\r\n"),

		EMPTY_LINE("\r\n\r\n"),

		NEGATIVE_SIZE("-1\r\n\r\n"),

		SIZE_WITH_A_PREFIX("0x0\r\n\r\n");

		private final String bytes;

		Intrusion(String bytes) {
			this.bytes = bytes;
		}

	}

	/**
	 * The responses to a resumption that do not continue the stream.
	 */
	enum Unusable {

		SERVER_ERROR("HTTP/1.1 500 Error\r\n" + SIGNED + "Content-Length: 8\r\n\r\nunusable"),

		SERVER_ERROR_WITHOUT_BODY("HTTP/1.1 500 Error\r\n" + SIGNED + "Content-Length: 0\r\n\r\n"),

		SERVER_ERROR_AS_STREAM("HTTP/1.1 500 Error\r\n" + EVENT_STREAM + "Transfer-Encoding: chunked\r\n\r\n"
				+ httpChunk(event(3)) + LAST_CHUNK),

		NOT_FOUND("HTTP/1.1 404 Not Found\r\n" + SIGNED + "Content-Length: 8\r\n\r\nunusable"),

		REDIRECT("HTTP/1.1 302 Found\r\n" + SIGNED + "Location: /elsewhere\r\nContent-Length: 0\r\n\r\n"),

		NO_CONTENT("HTTP/1.1 204 No Content\r\n" + SIGNED + "\r\n"),

		PARTIAL_CONTENT("HTTP/1.1 206 Partial Content\r\n" + EVENT_STREAM + "Transfer-Encoding: chunked\r\n\r\n"
				+ httpChunk(event(3)) + LAST_CHUNK),

		OTHER_CONTENT_TYPE(
				"HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Type: application/json\r\nContent-Length: 8\r\n\r\nunusable"),

		NO_CONTENT_TYPE("HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 0\r\n\r\n"),

		COMPRESSED("HTTP/1.1 200 OK\r\n" + EVENT_STREAM + "Content-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
				+ httpChunk(event(3)) + LAST_CHUNK),

		LEAPING_ID(STREAM_HEAD + httpChunk(event(4)) + httpChunk(event(5)) + LAST_CHUNK),

		NO_ID(STREAM_HEAD + httpChunk("data: unusable\n\n") + LAST_CHUNK),

		INTERIM("HTTP/1.1 103 Early Hints\r\n" + EVENT_STREAM + "\r\n" + STREAM_HEAD + httpChunk(event(4))
				+ LAST_CHUNK),

		UNKNOWN_ENCODING("HTTP/1.1 200 OK\r\n" + EVENT_STREAM + "Transfer-Encoding: identity\r\n\r\n", true),

		LENGTH_AND_CHUNKS("HTTP/1.1 200 OK\r\n" + EVENT_STREAM
				+ "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n" + httpChunk(event(4)) + LAST_CHUNK),

		NEITHER_LENGTH_NOR_EVENT("HTTP/1.1 200 OK\r\n" + EVENT_STREAM + "Connection: close\r\n\r\n", true);

		private final RawServer.Response response;

		Unusable(String text) {
			this(text, false);
		}

		Unusable(String text, boolean closes) {
			this.response = new RawServer.Response(List.of(text), closes);
		}

	}

}
