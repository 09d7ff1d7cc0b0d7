package org.catkingate.tests.gateway;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.catkingate.model.RegionName;
import org.catkingate.model.registry.CallKind;
import org.catkingate.standins.raw.RawServer;
import org.catkingate.tests.harness.FreePorts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of calls that may be served in some regions only. The gateway is in region r, the
 * runners are in data centres a, b and c of the regions r, s and t.
 */
class ResidencyTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final int CALLS = 15;

	private static final String IDENTIFIED = "X-Request-Id: " + RawServer.REQUEST_ID_PLACEHOLDER
			+ "\r\nX-Server-Seal: a.b\r\n";

	private final AtomicInteger calls = new AtomicInteger();

	private static Set<RegionName> regions(String names) {
		return Stream.of(names.split(" "))
			.filter((name) -> !name.isEmpty())
			.map(RegionName::new)
			.collect(Collectors.toSet());
	}

	private static ScriptedRegistry registry(CallKind kind, String route, String account) {
		return ScriptedRegistry.withoutRunners(kind)
			.publish(TestGateway.configuration(8, kind, regions(route), regions(account)));
	}

	private static TestGateway start(ScriptedRegistry registry) throws Exception {
		return TestGateway.start(registry, FreePorts.next(), (client, address) -> null, 8000);
	}

	private String call(TestGateway gateway) throws Exception {
		try (RawCaller caller = gateway.connect()) {
			return caller.post("r" + this.calls.incrementAndGet(), "/songs/1", "hello").readResponse();
		}
	}

	// Guards against requests that reach a region that is not allowed, among others at a
	// gateway outside the allowed regions, and against restrictions of which only one
	// applies.
	@ParameterizedTest
	@CsvSource({ "s t, '', s t", "'', s t, s t", "r s, s t, s", "t, t, t", "'', '', r s t", "r, '', r" })
	void callsReachTheirRegionsOnly(String route, String account, String allowed) throws Exception {
		try (RecordingRunner inR = RecordingRunner.start();
				RecordingRunner inS = RecordingRunner.start();
				RecordingRunner inT = RecordingRunner.start();
				TestGateway gateway = start(
						registry(CallKind.NON_IDEMPOTENT, route, account).register("runner-a", 1, inR.address(), "a")
							.register("runner-b", 1, inS.address(), "b")
							.register("runner-c", 1, inT.address(), "c"))) {
			for (int i = 0; i < CALLS; i++) {
				assertThat(call(gateway)).startsWith("HTTP/1.1 200 ");
			}
			assertThat(inR.requests().isEmpty() || allowed.contains("r")).isTrue();
			assertThat(inS.requests().isEmpty() || allowed.contains("s")).isTrue();
			assertThat(inT.requests().isEmpty() || allowed.contains("t")).isTrue();
		}
	}

	// Guards against calls that wait, or run, although they can be served nowhere, and
	// against callers that return at once.
	@ParameterizedTest
	@CsvSource({ "r, s", "s t, r", "x, ''", "x, x" })
	void callsThatNoRunnerMayServeAreRejectedAtOnce(String route, String account) throws Exception {
		try (RecordingRunner inR = RecordingRunner.start();
				TestGateway gateway = start(registry(CallKind.NON_IDEMPOTENT, route, account).register("runner-a", 1,
						inR.address(), "a"))) {
			long startedAt = System.nanoTime();
			assertThat(call(gateway)).startsWith("HTTP/1.1 503 ")
				.contains("region")
				.containsPattern("Retry-After: (0\\.[5-9]|1)");
			assertThat(Duration.ofNanos(System.nanoTime() - startedAt)).isLessThan(Duration.ofMillis(500));
			assertThat(inR.requests()).isEmpty();
		}
	}

	// Guards against a retry in a region that is not allowed, after a rejection of the
	// only runner that may serve the call.
	@Test
	void retriesReachTheirRegionsOnly() throws Exception {
		try (RecordingRunner inR = RecordingRunner.start();
				RawServer inS = RawServer.respondingWith(
						"HTTP/1.1 503 Full\r\n" + IDENTIFIED + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
				TestGateway gateway = start(
						registry(CallKind.NON_IDEMPOTENT, "s", "").register("runner-a", 1, inR.address(), "a")
							.register("runner-b", 1, inS.address(), "b"))) {
			assertThat(call(gateway)).startsWith("HTTP/1.1 503 ").contains("Retry-After");
			Awaitility.await().atMost(TIMEOUT).until(() -> {
				call(gateway);
				return !inS.requestHeads().isEmpty();
			});
			assertThat(inR.requests()).isEmpty();
		}
	}

	// Guards against the rest of a stream that is requested in a region that is not
	// allowed, after the runner that began it has failed.
	@Test
	void resumedStreamsReachTheirRegionsOnly() throws Exception {
		try (RecordingRunner inR = RecordingRunner.start();
				RawServer inS = RawServer.respondingAndClosing("HTTP/1.1 200 OK\r\n" + IDENTIFIED
						+ "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n"
						+ "11\r\nid: 1\ndata: one\n\n\r\n");
				TestGateway gateway = start(
						registry(CallKind.STREAM, "s", "").register("runner-a", 1, inR.address(), "a")
							.register("runner-b", 1, inS.address(), "b"))) {
			Awaitility.await().atMost(TIMEOUT).until(() -> {
				String response = call(gateway);
				return response.contains("id: 1\n") && response.endsWith("<closed>");
			});
			assertThat(inR.requests()).isEmpty();
		}
	}

	// Guards against a configuration that restricts calls and takes effect for later
	// gateways only.
	@Test
	void aPublishedRestrictionTakesEffect() throws Exception {
		try (RecordingRunner inR = RecordingRunner.start(); RecordingRunner inS = RecordingRunner.start()) {
			ScriptedRegistry registry = registry(CallKind.NON_IDEMPOTENT, "", "").register("runner-a", 1, inR.address(),
					"a");
			try (TestGateway gateway = start(registry)) {
				assertThat(call(gateway)).startsWith("HTTP/1.1 200 ");
				registry.publish(TestGateway.configuration(9, CallKind.NON_IDEMPOTENT, regions("s"), regions("")))
					.register("runner-b", 1, inS.address(), "b");
				Awaitility.await().atMost(TIMEOUT).until(() -> {
					call(gateway);
					return !inS.requests().isEmpty();
				});
				int before = inR.requests().size();
				for (int i = 0; i < CALLS; i++) {
					call(gateway);
				}
				assertThat(inR.requests()).hasSize(before);
			}
		}
	}

}
