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

import org.junit.jupiter.api.Test;

import org.catkingate.tests.harness.FreePorts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of prompts with a part under which every runner ends.
 */
class CrashingPromptTests {

	private static final String CRASHING_PART = "bad0bad0";

	private static final String SHARED_PART = "5c1e07a2";

	private static final int RUNNERS = 6;

	private static final int SOUND_CALLERS = 6;

	private static final long DURATION_MILLIS = 9000;

	private static final long CRASHING_INTERVAL_MILLIS = 120;

	/** The time that the rule leaves from the fifth end of a runner on. */
	private static final long SETTLING_MILLIS = 3000;

	private static final int CRASHES_BEFORE_SETTLING = 5;

	private static final int MAX_LATER_ARRIVALS = 3;

	/** More than a gateway takes to connect to another one. */
	private static final long CONNECTING_MILLIS = 3000;

	/** More than a runner takes to start again. */
	private static final long RESTART_MILLIS = 1000;

	private static final int MAX_REQUESTS = 10;

	private static final String NOT_RUN = "HTTP/1.1 503 ";

	private final AtomicInteger requests = new AtomicInteger();

	private String post(TestGateway gateway, String part) throws Exception {
		int number = this.requests.incrementAndGet();
		String body = "text " + number;
		try (RawCaller caller = gateway.connect()) {
			return caller
				.send("POST /songs/1 HTTP/1.1\r\nHost: " + TestGateway.HOST + "\r\nX-Request-Id: r" + number
						+ "\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer " + TestGateway.API_KEY
						+ "\r\nX-Token-Counts: 300,40\r\nX-Prefix-Hash: " + SHARED_PART + ":40," + part + ":200,"
						+ Integer.toHexString(0x1000 + number) + ":60\r\nContent-Length: " + body.length() + "\r\n\r\n"
						+ body)
				.readResponse();
		}
	}

	/**
	 * Sends one sound request after the other until a time.
	 * @return whether each request from the start of the last phase on was served
	 */
	private List<Boolean> sendSound(TestGateway gateway, String part, long lastPhaseNanos, long endNanos)
			throws Exception {
		List<Boolean> served = new ArrayList<>();
		while (System.nanoTime() < endNanos) {
			boolean counts = System.nanoTime() >= lastPhaseNanos;
			boolean complete = isComplete(gateway, part);
			if (counts) {
				served.add(complete);
			}
		}
		return served;
	}

	private boolean isComplete(TestGateway gateway, String part) throws Exception {
		try {
			String response = post(gateway, part);
			return response.startsWith("HTTP/1.1 200 ") && response.endsWith("\r\n0\r\n\r\n");
		}
		catch (IOException ex) {
			return false;
		}
	}

	// Guards against requests with one part in their prompts that end one runner after
	// the
	// other, and against rejecting the sound requests that share their caller and their
	// first part.
	@Test
	void areNotSentToRunnersAfterFiveHaveEndedWhileSoundOnesAreServed() throws Exception {
		ExecutorService callers = Executors.newFixedThreadPool(SOUND_CALLERS);
		try (CrashingRunners runners = CrashingRunners.start(RUNNERS, CRASHING_PART);
				TestGateway gateway = TestGateway.start(runners, FreePorts.next(), (client, address) -> null, 8000)) {
			long start = System.nanoTime();
			long end = start + TimeUnit.MILLISECONDS.toNanos(DURATION_MILLIS);
			long lastPhase = end - TimeUnit.MILLISECONDS.toNanos(DURATION_MILLIS / 4);
			List<Callable<List<Boolean>>> tasks = new ArrayList<>();
			for (int i = 0; i < SOUND_CALLERS; i++) {
				String part = "900d000" + (i % 3);
				tasks.add(() -> sendSound(gateway, part, lastPhase, end));
			}
			List<Future<List<Boolean>>> sound = tasks.stream().map(callers::submit).toList();
			while (System.nanoTime() < end) {
				new Thread(() -> sendCrashing(gateway)).start();
				Thread.sleep(CRASHING_INTERVAL_MILLIS);
			}
			List<Boolean> served = new ArrayList<>();
			for (Future<List<Boolean>> results : sound) {
				served.addAll(results.get(30, TimeUnit.SECONDS));
			}
			System.out.println("runners that ended: " + runners.crashNanos().size()
					+ ", requests with the part that arrived: " + runners.arrivalNanos().size());
			assertThat(laterArrivals(runners)).as("requests after %d ends", runners.crashNanos().size())
				.isLessThanOrEqualTo(MAX_LATER_ARRIVALS);
			assertThat(served.stream().filter((complete) -> complete).count()).as("of %d sound requests", served.size())
				.isGreaterThan(served.size() / 2);
		}
		finally {
			callers.shutdownNow();
		}
	}

	// Guards against each gateway of a fleet ending runners anew before it rejects a
	// part,
	// and against gateways that forget or never learn of it when they start.
	@Test
	void areRejectedByGatewaysThatHaveSeenNoRunnerEnd() throws Exception {
		InetSocketAddress seed = FreePorts.next();
		String seedAddress = seed.getAddress().getHostAddress() + ":" + seed.getPort();
		try (CrashingRunners runners = CrashingRunners.start(RUNNERS, CRASHING_PART);
				TestGateway first = TestGateway.start(runners, seed, (client, address) -> null, 8000);
				TestGateway second = TestGateway.start(runners, FreePorts.next(), (client, address) -> null, 8000,
						seedAddress)) {
			Thread.sleep(CONNECTING_MILLIS);
			int sent = 0;
			while (!post(second, CRASHING_PART).startsWith(NOT_RUN) && sent < MAX_REQUESTS) {
				sent++;
				Thread.sleep(RESTART_MILLIS);
			}
			assertThat(runners.crashNanos()).hasSizeLessThanOrEqualTo(CRASHES_BEFORE_SETTLING);
			int arrived = runners.arrivalNanos().size();
			assertThat(post(first, CRASHING_PART)).startsWith(NOT_RUN);
			try (TestGateway third = TestGateway.start(runners, FreePorts.next(), (client, address) -> null, 8000,
					seedAddress)) {
				Thread.sleep(CONNECTING_MILLIS);
				assertThat(post(third, CRASHING_PART)).startsWith(NOT_RUN);
				assertThat(isComplete(third, "900d0000")).isTrue();
			}
			assertThat(runners.arrivalNanos()).hasSize(arrived);
		}
	}

	private void sendCrashing(TestGateway gateway) {
		try {
			post(gateway, CRASHING_PART);
		}
		catch (Exception ex) {
			// the gateway has been stopped at the end of the test
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
