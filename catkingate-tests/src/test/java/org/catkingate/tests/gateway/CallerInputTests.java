package org.catkingate.tests.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.catkingate.model.registry.CallKind;
import org.catkingate.tests.gateway.CallerInput.Result;
import org.catkingate.tests.gateway.RecordingRunner.RecordedRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of what a gateway makes of the bytes of callers, over real sockets. They compare
 * what the runner reads and what callers receive with what was sent. A request that ever
 * had the wrong result is kept as one of {@link CallerInput#irregular} or as a test; the
 * seed of generated requests is printed, and can be set with the property
 * {@value #SEED_PROPERTY}.
 */
class CallerInputTests {

	private static final String SEED_PROPERTY = "caller-input.seed";

	private static final int GENERATED_CONNECTIONS = 300;

	private static final int MAX_REQUESTS_PER_CONNECTION = 4;

	private static final int MAX_PARTS = 4;

	private static final int MAX_HEAD_BYTES = 16_384;

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final Pattern REJECTION = Pattern.compile("(?s)HTTP/1\\.[01] (400|408|413|431) .*");

	private static final AtomicInteger ids = new AtomicInteger();

	private static RecordingRunner runner;

	private static TestGateway gateway;

	private static RawCaller bystander;

	@BeforeAll
	static void start() throws Exception {
		runner = RecordingRunner.start();
		gateway = TestGateway.start(CallKind.IDEMPOTENT, runner.address());
		bystander = gateway.connect();
	}

	@AfterAll
	static void stop() throws IOException {
		bystander.close();
		gateway.close();
		runner.close();
	}

	private static String nextId() {
		return "r" + ids.incrementAndGet();
	}

	/**
	 * Sends requests on one connection and checks the result of each.
	 * @param inputs the requests
	 * @param parts the same bytes, as they are written
	 */
	private static void exchange(List<CallerInput> inputs, List<String> parts) throws Exception {
		int before = runner.requests().size();
		Set<String> served = new HashSet<>();
		try (RawCaller caller = gateway.connect()) {
			write(caller, parts);
			String other = nextId();
			served.add(other);
			assertThat(bystander.post(other, "/songs/1", "other").readResponse()).as("another connection")
				.endsWith(RecordingRunner.responseBody(other));
			boolean open = true;
			for (CallerInput input : inputs) {
				if (open) {
					open = readResponse(caller, input);
					if (open) {
						served.add(input.id());
					}
				}
			}
		}
		// A runner that responds early may still be reading the body.
		Awaitility.await()
			.atMost(TIMEOUT)
			.pollDelay(Duration.ZERO)
			.pollInterval(Duration.ofMillis(2))
			.until(() -> recordedSince(before).stream().map(RecordedRequest::id).toList().containsAll(served));
		List<RecordedRequest> recorded = recordedSince(before);
		assertThat(runner.unreadable()).as("what is no request").isEmpty();
		assertThat(recorded.stream().map(RecordedRequest::id).collect(Collectors.toSet())).isEqualTo(served);
		Map<String, CallerInput> sent = inputs.stream().collect(Collectors.toMap(CallerInput::id, Function.identity()));
		for (RecordedRequest request : recorded) {
			if (sent.containsKey(request.id())) {
				assertUnchanged(sent.get(request.id()), request);
			}
		}
	}

	private static List<RecordedRequest> recordedSince(int count) {
		List<RecordedRequest> requests = runner.requests();
		return requests.subList(count, requests.size());
	}

	private static void write(RawCaller caller, List<String> parts) throws InterruptedException {
		try {
			for (String part : parts) {
				caller.send(part);
				if (parts.size() > 1) {
					Thread.sleep(1);
				}
			}
		}
		catch (IOException ex) {
			// the gateway may close the connection before it has read everything
		}
	}

	private static boolean readResponse(RawCaller caller, CallerInput input) throws IOException {
		String response = caller.readResponse();
		boolean rejected = REJECTION.matcher(response).matches();
		if (input.result() != Result.REJECTED && !rejected) {
			assertThat(response).as(input.name())
				.startsWith("HTTP/1.1 200 OK\r\n")
				.contains("X-Request-Id: " + input.id() + "\r\n")
				.contains(RecordingRunner.responseBody(input.id()));
			return true;
		}
		assertThat(input.result()).as(input.name() + " got " + response).isNotEqualTo(Result.SERVED);
		assertThat(response).as(input.name()).matches(REJECTION);
		assertThat(isClosed(caller)).as(input.name() + " is disconnected").isTrue();
		return false;
	}

	private static boolean isClosed(RawCaller caller) {
		try {
			return caller.awaitClosed();
		}
		catch (IOException ex) {
			return true;
		}
	}

	private static void assertUnchanged(CallerInput input, RecordedRequest request) {
		assertThat(request.method()).as(input.name()).isEqualTo(input.method());
		assertThat(request.target()).as(input.name()).isEqualTo(input.target());
		assertThat(request.body()).as(input.name()).isEqualTo(input.body());
		assertThat(request.head()).doesNotContain("hidden");
	}

	private static List<String> split(String bytes, SplittableRandom random) {
		List<Integer> cuts = random.ints(random.nextInt(MAX_PARTS), 0, bytes.length()).sorted().boxed().toList();
		List<String> parts = new ArrayList<>();
		int start = 0;
		for (int cut : cuts) {
			parts.add(bytes.substring(start, cut));
			start = cut;
		}
		parts.add(bytes.substring(start));
		return parts;
	}

	private static String join(List<CallerInput> inputs) {
		return inputs.stream().map(CallerInput::bytes).collect(Collectors.joining());
	}

	@Test
	void aRequestInSingleBytesIsReadTheSame() throws Exception {
		CallerInput input = CallerInput.wellFormed(new SplittableRandom(7), nextId());
		exchange(List.of(input), List.of(input.bytes().split("")));
	}

	@Nested
	class GeneratedRequests {

		@Test
		void areServedUnchangedOrRejectedAndDisconnected() throws Exception {
			long seed = Long.getLong(SEED_PROPERTY, System.nanoTime());
			System.out.println("CallerInputTests: -D" + SEED_PROPERTY + "=" + seed);
			SplittableRandom random = new SplittableRandom(seed);
			for (int i = 0; i < GENERATED_CONNECTIONS; i++) {
				List<CallerInput> inputs = new ArrayList<>();
				int requests = 1 + random.nextInt(MAX_REQUESTS_PER_CONNECTION);
				int irregular = random.nextInt(2 * requests);
				for (int j = 0; j < requests; j++) {
					List<CallerInput> forms = CallerInput.irregular(nextId());
					inputs.add((j == irregular) ? forms.get(random.nextInt(forms.size()))
							: CallerInput.wellFormed(random, nextId()));
				}
				try {
					exchange(inputs, split(join(inputs), random));
				}
				catch (AssertionError ex) {
					throw new AssertionError("seed " + seed + ", connection " + i + ": " + inputs, ex);
				}
			}
		}

	}

	@Nested
	class AnIrregularRequest {

		static Stream<CallerInput> inputs() {
			return CallerInput.irregular("").stream();
		}

		// Guards against a chunk whose data is longer than its size, and against other
		// malformed chunks that were read as if they were well-formed.
		@ParameterizedTest
		@MethodSource("inputs")
		void isNeitherForwardedInPartNorFollowedByTheNext(CallerInput form) throws Exception {
			CallerInput irregular = CallerInput.irregular(nextId())
				.stream()
				.filter((input) -> input.name().equals(form.name()))
				.findFirst()
				.orElseThrow();
			List<CallerInput> inputs = List.of(irregular, CallerInput.wellFormed(new SplittableRandom(1), nextId()));
			exchange(inputs, List.of(join(inputs)));
		}

	}

	@Nested
	class ARequestLine {

		@Test
		void withAnEmptyQueryIsForwardedWithIt() throws Exception {
			exchange("/songs/1?", "HTTP/1.1", Result.SERVED);
		}

		@Test
		void withAnUnknownMajorVersionIsRejected() throws Exception {
			exchange("/songs/1", "HTTP/9.9", Result.REJECTED);
		}

		private static void exchange(String target, String version, Result result) throws Exception {
			String id = nextId();
			String bytes = "GET " + target + " " + version + "\r\nHost: " + TestGateway.HOST + "\r\nX-Request-Id: " + id
					+ "\r\nAuthorization: Bearer " + TestGateway.API_KEY + "\r\n\r\n";
			CallerInputTests.exchange(List.of(new CallerInput(target, id, "GET", target, "", bytes, result)),
					List.of(bytes));
		}

	}

	@Nested
	class PipelinedRequests {

		// Guards against a response of 400 in place of the response to a request that has
		// run, because the head behind it on the same connection cannot be read.
		@ParameterizedTest
		@ValueSource(strings = { "LENGTH", "CHUNKS", "LATE" })
		void inFrontOfAnUnreadableHeadGetTheirResponses(String form) throws Exception {
			for (int unreadBytes = 0; unreadBytes <= MAX_HEAD_BYTES; unreadBytes += MAX_HEAD_BYTES / 8) {
				String first = nextId();
				String bytes = head(first) + RecordingRunner.RESPONSE_HEADER + ": " + form + "\r\n\r\n";
				String unreadable = head("second") + "X-A: " + "x".repeat(MAX_HEAD_BYTES + 4000) + "\r\n\r\n";
				List<CallerInput> inputs = List.of(
						new CallerInput("first", first, "POST", "/songs/1", "", bytes, Result.SERVED),
						new CallerInput("unreadable", nextId(), "", "", "", unreadable, Result.REJECTED));
				int place = bytes.length() + unreadBytes;
				exchange(inputs, List.of(join(inputs).substring(0, place), join(inputs).substring(place)));
			}
		}

		@Test
		void getTheirResponsesWithoutWaitingForTheNext() throws Exception {
			try (RawCaller caller = gateway.connect()) {
				caller.send(head("first") + "Content-Length: 0\r\n\r\n" + head("second") + "Content-Length: 5\r\n\r\n");
				assertThat(caller.readResponse()).contains(RecordingRunner.responseBody("first"));
				assertThat(caller.send("hello").readResponse()).contains(RecordingRunner.responseBody("second"));
			}
		}

		private static String head(String id) {
			return "POST /songs/1 HTTP/1.1\r\nHost: " + TestGateway.HOST + "\r\nX-Request-Id: " + id
					+ "\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer " + TestGateway.API_KEY + "\r\n";
		}

	}

	@Nested
	class ARequestInTwoParts {

		@Test
		void isReadTheSameForEachPlaceBetweenThem() throws Exception {
			String head = "POST /songs/1?x=y HTTP/1.1\r\nHost: " + TestGateway.HOST + "\r\nX-Deadline-Ms: 2500\r\n"
					+ "Authorization: Bearer " + TestGateway.API_KEY + "\r\nTransfer-Encoding: chunked\r\n";
			String chunks = "5;x=y\r\nhello\r\n01\r\n!\r\n0\r\nX-Trailer: x\r\n\r\n";
			int length = (head + "X-Request-Id: r10000\r\n\r\n" + chunks).length();
			for (int cut : IntStream.rangeClosed(1, length).toArray()) {
				String id = nextId();
				String bytes = head + "X-Request-Id: " + id + "\r\n\r\n" + chunks;
				CallerInput input = new CallerInput("cut at " + cut, id, "POST", "/songs/1?x=y", "hello!", bytes,
						Result.SERVED);
				int place = Math.min(cut, bytes.length() - 1);
				exchange(List.of(input), List.of(bytes.substring(0, place), bytes.substring(place)));
			}
		}

		@Test
		void isRejectedTheSameForEachPlaceBetweenThemIfAChunkIsTooLong() throws Exception {
			String content = "3;x\r\nabcd\r\n0\r\n\r\n";
			for (int cut = 0; cut <= content.length(); cut++) {
				CallerInput input = CallerInput.irregular(nextId()).get(0);
				int place = input.bytes().length() - cut;
				exchange(List.of(input), List.of(input.bytes().substring(0, place), input.bytes().substring(place)));
			}
		}

	}

}
