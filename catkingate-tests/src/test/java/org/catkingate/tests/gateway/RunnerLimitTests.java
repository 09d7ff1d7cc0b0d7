package org.catkingate.tests.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.catkingate.model.AddressFormatter;
import org.catkingate.model.registry.CallKind;
import org.catkingate.standins.raw.RawServer;
import org.catkingate.tests.harness.FreePorts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of several gateways that call runners which state how many requests a second they
 * take from all of them together.
 */
class RunnerLimitTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private static final int GATEWAYS = 4;

	private static final int SEEDS = 3;

	private static final int CALLERS_PER_GATEWAY = 2;

	private static final double LIMIT_PER_SECOND = 2;

	/** The time that the rule leaves after the first statement. */
	private static final long SETTLING_MILLIS = 3000;

	private static final long MEASURED_MILLIS = 6000;

	/**
	 * More than a gateway assumes of a runner that it does not know, so that it prefers
	 * the limited runner.
	 */
	private static final long SLOW_RESPONSE_MILLIS = 150;

	/** More than a gateway takes to connect to another one. */
	private static final long CONNECTING_MILLIS = 3000;

	private static final Pattern RETRY_AFTER = Pattern.compile("(?m)^Retry-After: ([0-9.]+)");

	private static final String IDENTIFIED = "X-Request-Id: " + RawServer.REQUEST_ID_PLACEHOLDER
			+ "\r\nX-Server-Seal: a.b\r\nContent-Length: 2\r\n\r\nok";

	private static final String OK = "HTTP/1.1 200 OK\r\n" + IDENTIFIED;

	private static final String OK_WITH_LIMIT = "HTTP/1.1 200 OK\r\nServer-Limit: " + LIMIT_PER_SECOND + "\r\n"
			+ IDENTIFIED;

	private final AtomicInteger calls = new AtomicInteger();

	private final AtomicBoolean stopped = new AtomicBoolean();

	private final List<TestGateway> gateways = new ArrayList<>();

	private ExecutorService callers;

	@AfterEach
	void stop() {
		this.stopped.set(true);
		if (this.callers != null) {
			this.callers.shutdownNow();
		}
		this.gateways.forEach(TestGateway::close);
	}

	private void startGateways(InetSocketAddress... runners) throws Exception {
		List<InetSocketAddress> addresses = new ArrayList<>();
		for (int i = 0; i < GATEWAYS; i++) {
			addresses.add(FreePorts.next());
		}
		String seeds = addresses.stream().limit(SEEDS).map(AddressFormatter::format).collect(Collectors.joining(","));
		TestGateway.InMemoryRegistry registry = new TestGateway.InMemoryRegistry(
				TestGateway.items(CallKind.IDEMPOTENT, runners));
		for (InetSocketAddress address : addresses) {
			this.gateways.add(TestGateway.start(registry, address, (client, origin) -> null, 8000, seeds));
		}
		Thread.sleep(CONNECTING_MILLIS);
	}

	private void startCallers() {
		this.callers = Executors.newFixedThreadPool(GATEWAYS * CALLERS_PER_GATEWAY);
		for (int i = 0; i < GATEWAYS * CALLERS_PER_GATEWAY; i++) {
			TestGateway gateway = this.gateways.get(i % GATEWAYS);
			this.callers.submit(() -> {
				while (!this.stopped.get()) {
					call(gateway);
				}
				return null;
			});
		}
	}

	private String call(TestGateway gateway) throws Exception {
		try (RawCaller caller = gateway.connect()) {
			return caller.post("r" + this.calls.incrementAndGet(), "/songs/1", "hello").readResponse();
		}
	}

	private static Supplier<RawServer.Response> respondingAfter(long millis, String response) {
		return () -> {
			try {
				Thread.sleep(millis);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			return new RawServer.Response(List.of(response), false);
		};
	}

	// Guards against gateways that send a runner more requests together than it has
	// stated that it takes (LIMIT).
	@Test
	void allGatewaysTogetherSendNoMoreThanTheLimit() throws Exception {
		try (RawServer limited = RawServer.respondingWith(OK_WITH_LIMIT);
				RawServer other = RawServer.respondingWith(respondingAfter(SLOW_RESPONSE_MILLIS, OK))) {
			startGateways(limited.address(), other.address());
			startCallers();
			Awaitility.await().atMost(TIMEOUT).until(() -> !limited.requestHeads().isEmpty());
			Thread.sleep(SETTLING_MILLIS);
			int before = limited.requestHeads().size();
			long start = System.nanoTime();
			Thread.sleep(MEASURED_MILLIS);
			int arrived = limited.requestHeads().size() - before;
			double seconds = (System.nanoTime() - start) / (double) TimeUnit.SECONDS.toNanos(1);
			System.out.println("requests that arrived in " + seconds + " s: " + arrived);
			assertThat(arrived).isLessThanOrEqualTo((int) (LIMIT_PER_SECOND * seconds) + SEEDS).isPositive();
			assertThat(other.requestHeads()).hasSizeGreaterThan(arrived);
		}
	}

	// Guards against callers that wait for a request which no runner takes, that return
	// at once, or that get no response at one of the gateways.
	@Test
	void callsBeyondTheLimitsOfAllRunnersAreRejectedWithATime() throws Exception {
		try (RawServer limited = RawServer.respondingWith(OK_WITH_LIMIT)) {
			startGateways(limited.address());
			Awaitility.await().atMost(TIMEOUT).until(() -> call(this.gateways.get(0)).endsWith("ok"));
			for (TestGateway gateway : this.gateways) {
				Awaitility.await().atMost(TIMEOUT).until(() -> call(gateway).startsWith("HTTP/1.1 503 "));
				String rejection = call(gateway);
				while (!rejection.startsWith("HTTP/1.1 503 ")) {
					rejection = call(gateway);
				}
				Matcher retryAfter = RETRY_AFTER.matcher(rejection);
				assertThat(retryAfter.find()).as(rejection).isTrue();
				assertThat(Double.parseDouble(retryAfter.group(1))).isPositive();
				Awaitility.await().atMost(TIMEOUT).until(() -> call(gateway).endsWith("ok"));
			}
		}
	}

	// Guards against a limit that gateways keep after the runner has stopped stating it.
	@Test
	void theRunnerIsUsedAsBeforeOnceItStatesNoLimit() throws Exception {
		AtomicBoolean limiting = new AtomicBoolean(true);
		try (RawServer runner = RawServer
			.respondingWith(() -> new RawServer.Response(List.of(limiting.get() ? OK_WITH_LIMIT : OK), false))) {
			startGateways(runner.address());
			startCallers();
			Awaitility.await().atMost(TIMEOUT).until(() -> runner.requestHeads().size() > 5);
			limiting.set(false);
			int before = runner.requestHeads().size();
			Awaitility.await().atMost(TIMEOUT).until(() -> runner.requestHeads().size() > before + 300);
		}
	}

}
