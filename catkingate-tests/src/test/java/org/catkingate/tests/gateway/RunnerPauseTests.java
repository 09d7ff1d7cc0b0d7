package org.catkingate.tests.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.catkingate.model.registry.CallKind;
import org.catkingate.standins.raw.RawServer;
import org.catkingate.tests.harness.FreePorts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of runners that reject requests and ask for a pause.
 */
class RunnerPauseTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	/** Fewer than the connections that a server accepts at the same moment. */
	private static final int BURST = 8;

	/** Longer than a test takes, so that the pause is not over before its end. */
	private static final int LONG_PAUSE_SECONDS = 60;

	/** Long enough for the gateway to receive several changes of the registry. */
	private static final long SEVERAL_WATCHES_MILLIS = 400;

	private static final Pattern RETRY_AFTER = Pattern.compile("(?m)^Retry-After: ([0-9.]+)");

	private static final String IDENTIFIED = "X-Request-Id: " + RawServer.REQUEST_ID_PLACEHOLDER
			+ "\r\nX-Server-Seal: a.b\r\n";

	private static final String STREAM_HEAD = "HTTP/1.1 200 OK\r\n" + IDENTIFIED
			+ "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n";

	private static final String FIRST_EVENT = "11\r\nid: 1\ndata: one\n\n\r\n";

	private static final String OK = "HTTP/1.1 200 OK\r\n" + IDENTIFIED + "Content-Length: 2\r\n\r\nok";

	private final AtomicInteger calls = new AtomicInteger();

	private static String rejection(String retryAfter) {
		return "HTTP/1.1 503 Full\r\n" + IDENTIFIED + "X-Not-Executed: 1\r\nRetry-After: " + retryAfter
				+ "\r\nContent-Length: 0\r\n\r\n";
	}

	private static String rejectionWithLongPause() {
		return rejection(String.valueOf(LONG_PAUSE_SECONDS));
	}

	private static Supplier<RawServer.Response> once(String first, String next) {
		AtomicInteger requests = new AtomicInteger();
		return () -> new RawServer.Response(List.of((requests.getAndIncrement() == 0) ? first : next), false);
	}

	private static TestGateway start(ScriptedRegistry registry) throws Exception {
		return TestGateway.start(registry, FreePorts.next(), (client, address) -> null, 8000);
	}

	private String call(TestGateway gateway) throws Exception {
		try (RawCaller caller = gateway.connect()) {
			return caller.post("r" + this.calls.incrementAndGet(), "/songs/1", "hello").readResponse();
		}
	}

	private List<String> callAtOnce(TestGateway gateway) throws Exception {
		ExecutorService callers = Executors.newFixedThreadPool(BURST);
		try {
			List<Future<String>> responses = new ArrayList<>();
			for (int i = 0; i < BURST; i++) {
				responses.add(callers.submit(() -> call(gateway)));
			}
			List<String> received = new ArrayList<>();
			for (Future<String> response : responses) {
				received.add(response.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
			}
			return received;
		}
		finally {
			callers.shutdownNow();
		}
	}

	private static double retryAfterSeconds(String response) {
		Matcher matcher = RETRY_AFTER.matcher(response);
		assertThat(matcher.find()).as(response).isTrue();
		return Double.parseDouble(matcher.group(1));
	}

	private void awaitAnswer(TestGateway gateway) {
		Awaitility.await().atMost(TIMEOUT).until(() -> call(gateway).endsWith("ok"));
	}

	@Nested
	class DuringThePause {

		// Guards against requests to a runner that has asked for none.
		@ParameterizedTest
		@ValueSource(strings = { "503 Full\r\nX-Not-Executed: 1", "429 Full\r\nX-Not-Executed: 1", "503 Full" })
		void noRequestOfABurstReachesTheRunner(String status) throws Exception {
			try (RawServer runner = RawServer.respondingWith("HTTP/1.1 " + status + "\r\n" + IDENTIFIED
					+ "Retry-After: " + LONG_PAUSE_SECONDS + "\r\nContent-Length: 0\r\n\r\n");
					TestGateway gateway = TestGateway.start(CallKind.NON_IDEMPOTENT, runner.address())) {
				call(gateway);
				// longer than the pause after a rejection that asks for none
				Thread.sleep(150);
				assertThat(callAtOnce(gateway))
					.allSatisfy((response) -> assertThat(response).startsWith("HTTP/1.1 503 "));
				assertThat(runner.requestHeads()).hasSize(1);
			}
		}

		// Guards against callers that return before the runner takes requests again, or
		// all at the same moment.
		@Test
		void callersAreToldToReturnAfterItAtDifferentTimes() throws Exception {
			try (RawServer runner = RawServer.respondingWith(rejectionWithLongPause());
					TestGateway gateway = TestGateway.start(CallKind.NON_IDEMPOTENT, runner.address())) {
				call(gateway);
				List<Double> delays = callAtOnce(gateway).stream().map(RunnerPauseTests::retryAfterSeconds).toList();
				assertThat(delays).allMatch(
						(delay) -> delay > LONG_PAUSE_SECONDS - TIMEOUT.toSeconds() && delay < LONG_PAUSE_SECONDS + 3);
				assertThat(delays.stream().distinct().count()).isGreaterThan(BURST / 2);
			}
		}

		// Guards against requests of a burst that reach the runner although others can
		// serve them.
		@Test
		void otherRunnersServeABurst() throws Exception {
			try (RawServer pausing = RawServer.respondingWith(rejectionWithLongPause());
					RawServer other = RawServer.respondingWith("", "", "", OK);
					TestGateway gateway = TestGateway.start(CallKind.NON_IDEMPOTENT, pausing.address(),
							other.address())) {
				Awaitility.await().atMost(TIMEOUT).until(() -> {
					callAtOnce(gateway);
					return !pausing.requestHeads().isEmpty();
				});
				// longer than the pause after a rejection that asks for none
				Thread.sleep(150);
				int receivedBefore = pausing.requestHeads().size();
				callAtOnce(gateway);
				awaitAnswer(gateway);
				assertThat(pausing.requestHeads()).hasSize(receivedBefore);
			}
		}

		// Guards against a retry that resumes a stream at a runner that has asked for no
		// requests.
		@Test
		void noStreamIsResumedThere() throws Exception {
			ScriptedRegistry registry = ScriptedRegistry.withoutRunners(CallKind.STREAM);
			try (RawServer pausing = RawServer.respondingWith(rejectionWithLongPause());
					RawServer breaking = RawServer.respondingAndClosing(STREAM_HEAD, FIRST_EVENT);
					TestGateway gateway = start(registry.register("a", 1, pausing.address()))) {
				Awaitility.await().atMost(TIMEOUT).until(() -> {
					call(gateway);
					return !pausing.requestHeads().isEmpty();
				});
				registry.register("b", 1, breaking.address());
				Awaitility.await().atMost(TIMEOUT).until(() -> call(gateway).contains("data: one"));
				assertThat(breaking.requestHeads()).hasSize(1);
				assertThat(pausing.requestHeads()).hasSize(1);
			}
		}

		// Guards against a registration that ends the pause.
		@Test
		void aNewRegistrationOfTheSameStartDoesNotEndIt() throws Exception {
			ScriptedRegistry registry = ScriptedRegistry.withoutRunners(CallKind.NON_IDEMPOTENT);
			try (RawServer runner = RawServer.respondingWith(once(rejectionWithLongPause(), OK));
					TestGateway gateway = start(registry.register("a", 1, runner.address()))) {
				Awaitility.await().atMost(TIMEOUT).until(() -> {
					call(gateway);
					return !runner.requestHeads().isEmpty();
				});
				registry.register("a", 1, runner.address());
				Thread.sleep(SEVERAL_WATCHES_MILLIS);
				assertThat(call(gateway)).startsWith("HTTP/1.1 503 ");
				registry.remove("a");
				Thread.sleep(SEVERAL_WATCHES_MILLIS);
				registry.register("a", 1, runner.address());
				Thread.sleep(SEVERAL_WATCHES_MILLIS);
				assertThat(call(gateway)).startsWith("HTTP/1.1 503 ");
				assertThat(runner.requestHeads()).hasSize(1);
				registry.register("a", 2, runner.address());
				awaitAnswer(gateway);
			}
		}

	}

	@Nested
	class AfterThePause {

		// Guards against a runner that stays out of service because of what it sent.
		@ParameterizedTest
		@ValueSource(strings = { "0.3", "0", "-5", "soon", "1e9", "" })
		void orWithoutAUsableOneRequestsReachTheRunner(String retryAfter) throws Exception {
			try (RawServer runner = RawServer.respondingWith(once(rejection(retryAfter), OK));
					TestGateway gateway = TestGateway.start(CallKind.NON_IDEMPOTENT, runner.address())) {
				assertThat(call(gateway)).startsWith("HTTP/1.1 503 ");
				awaitAnswer(gateway);
			}
		}

	}

}
