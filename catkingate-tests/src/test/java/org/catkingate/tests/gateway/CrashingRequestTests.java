package org.catkingate.tests.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.catkingate.model.AddressFormatter;
import org.catkingate.model.registry.CallKind;
import org.catkingate.tests.harness.FreePorts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a request under which every runner ends and that comes again: with the same
 * path, client account and body, and with no part of a prompt of which others are not
 * sound.
 */
class CrashingRequestTests {

	private static final String CRASHING_BODY = "crash";

	private static final int RUNNERS = 3;

	private static final int SOUND_CALLERS = 6;

	private static final long DURATION_MILLIS = 10_000;

	private static final long CRASHING_INTERVAL_MILLIS = 150;

	/** The time that the rule leaves from the third end of a runner on. */
	private static final long SETTLING_MILLIS = 3000;

	private static final int CRASHES_BEFORE_SETTLING = 3;

	private static final int MAX_LATER_ARRIVALS = 3;

	/** More than a gateway takes to connect to another one. */
	private static final long CONNECTING_MILLIS = 3000;

	private final AtomicInteger requests = new AtomicInteger();

	private String post(TestGateway gateway, String body) throws Exception {
		int number = this.requests.incrementAndGet();
		try (RawCaller caller = gateway.connect()) {
			return caller.send("POST /songs/1 HTTP/1.1\r\nHost: " + TestGateway.HOST + "\r\nX-Request-Id: r" + number
					+ "\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer " + TestGateway.API_KEY
					+ "\r\nX-Token-Counts: 300,40\r\nX-Prefix-Hash: 5c1e07a2:40," + Integer.toHexString(0x1000 + number)
					+ ":60\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
				.readResponse();
		}
	}

	private boolean isServed(TestGateway gateway, String body) throws Exception {
		try {
			String response = post(gateway, body);
			return response.startsWith("HTTP/1.1 200 ")
					&& (response.endsWith("ok") || response.endsWith("\r\n0\r\n\r\n"));
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Sends one sound request after the other until a time, each of them twice.
	 * @return whether each request from the start of the last phase on was served
	 */
	private List<Boolean> sendSound(TestGateway gateway, String caller, long lastPhaseNanos, long endNanos)
			throws Exception {
		List<Boolean> served = new ArrayList<>();
		for (int i = 0; System.nanoTime() < endNanos; i++) {
			boolean counts = System.nanoTime() >= lastPhaseNanos;
			boolean complete = isServed(gateway, "sound " + caller + " " + i / 2);
			if (counts) {
				served.add(complete);
			}
			Thread.sleep(10);
		}
		return served;
	}

	// Guards against requests that end one runner after the other each time they come
	// again, at any gateway, and against rejecting sound requests beside them (BUDGET).
	@ParameterizedTest
	@EnumSource(names = { "IDEMPOTENT", "STREAM" })
	void areNotSentToRunnersAfterThreeHaveEndedWhileSoundOnesAreServed(CallKind kind) throws Exception {
		ExecutorService callers = Executors.newCachedThreadPool();
		InetSocketAddress seed = FreePorts.next();
		try (CrashingRunners runners = CrashingRunners.start(RUNNERS, kind,
				(request) -> request.endsWith("\r\n\r\n" + CRASHING_BODY));
				TestGateway first = TestGateway.start(runners, seed, (client, address) -> null, 8000,
						AddressFormatter.format(seed));
				TestGateway second = TestGateway.start(runners, FreePorts.next(), (client, address) -> null, 8000,
						AddressFormatter.format(seed))) {
			Thread.sleep(CONNECTING_MILLIS);
			List<TestGateway> gateways = List.of(first, second);
			long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DURATION_MILLIS);
			long lastPhase = end - TimeUnit.MILLISECONDS.toNanos(DURATION_MILLIS / 4);
			List<Callable<List<Boolean>>> tasks = new ArrayList<>();
			for (int i = 0; i < SOUND_CALLERS; i++) {
				String caller = "caller " + i;
				TestGateway gateway = gateways.get(i % 2);
				tasks.add(() -> sendSound(gateway, caller, lastPhase, end));
			}
			List<Future<List<Boolean>>> sound = tasks.stream().map(callers::submit).toList();
			for (int i = 0; System.nanoTime() < end; i++) {
				TestGateway gateway = gateways.get(i % 2);
				callers.submit(() -> isServed(gateway, CRASHING_BODY));
				Thread.sleep(CRASHING_INTERVAL_MILLIS);
			}
			List<Boolean> served = new ArrayList<>();
			for (Future<List<Boolean>> results : sound) {
				served.addAll(results.get(30, TimeUnit.SECONDS));
			}
			System.out.println(kind + ": runners that ended: " + runners.crashNanos().size()
					+ ", crashing requests that arrived: " + runners.arrivalNanos().size());
			assertThat(laterArrivals(runners)).as("requests after %d ends", runners.crashNanos().size())
				.isLessThanOrEqualTo(MAX_LATER_ARRIVALS);
			assertThat(served.stream().filter((complete) -> complete).count()).as("of %d sound requests", served.size())
				.isGreaterThan(served.size() * 9 / 10);
		}
		finally {
			callers.shutdownNow();
		}
	}

	private static long laterArrivals(CrashingRunners runners) {
		if (runners.crashNanos().size() < CRASHES_BEFORE_SETTLING) {
			return 0;
		}
		long settled = runners.crashNanos().get(CRASHES_BEFORE_SETTLING - 1)
				+ TimeUnit.MILLISECONDS.toNanos(SETTLING_MILLIS);
		return runners.arrivalNanos().stream().filter((nanos) -> nanos > settled).count();
	}

}
