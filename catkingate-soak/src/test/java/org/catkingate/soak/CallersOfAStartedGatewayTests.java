package org.catkingate.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of many callers that come at once to a gateway process that has just become
 * ready, as after each planned restart.
 */
class CallersOfAStartedGatewayTests {

	private static final SoakFleet.Size SIZE = new SoakFleet.Size(1, 8, 0);

	private static final int CALLERS = 200;

	private static final long DURATION_MILLIS = 5000;

	private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

	private static final Duration START_LIMIT = Duration.ofSeconds(30);

	/** Callers give up then; an end of the connection before is the gateway's. */
	private static final long PATIENCE_MILLIS = 6000;

	private static final long STOP_LIMIT_MILLIS = TimeUnit.SECONDS.toMillis(30);

	private final Judge judge = new Judge();

	private final SoakClock clock = SoakClock.system();

	private final Map<String, AtomicInteger> outcomes = new TreeMap<>();

	private final List<String> resets = new ArrayList<>();

	private final AtomicLong nextId = new AtomicLong();

	@TempDir
	private Path directory;

	// Guards against a gateway that is slow in its first seconds and closes the
	// connections of callers that it has not read in time, although they still wait
	// (LOST).
	@Test
	void findNoConnectionClosedWithoutAResponse() throws Exception {
		try (SoakFleet fleet = SoakFleet.start(SoakProfile.ALL_FAULTS, SIZE, this.directory, this.judge, this.clock)) {
			SoakProcess gateway = fleet.gateways().get(0);
			gateway.kill();
			gateway.start();
			Awaitility.await("gateway ready").atMost(START_LIMIT).pollInterval(POLL_INTERVAL).until(gateway::isReady);
			long readyMillis = this.clock.millis();
			CountDownLatch allReady = new CountDownLatch(CALLERS);
			List<Thread> threads = new ArrayList<>();
			for (int i = 0; i < CALLERS; i++) {
				boolean keeps = i % 2 == 0;
				Thread thread = new Thread(() -> call(gateway, fleet.operator(), keeps, readyMillis, allReady),
						"caller-" + i);
				thread.setDaemon(true);
				threads.add(thread);
				thread.start();
			}
			for (Thread thread : threads) {
				thread.join(STOP_LIMIT_MILLIS);
			}
			synchronized (this.outcomes) {
				System.out.println("outcomes: " + this.outcomes);
				assertThat(this.resets).isEmpty();
				assertThat(this.outcomes.get("200").get()).isPositive();
			}
		}
	}

	private void call(SoakProcess gateway, SoakOperator operator, boolean keeps, long readyMillis,
			CountDownLatch allReady) {
		CallerConnection connection = null;
		try {
			allReady.countDown();
			allReady.await();
			while (this.clock.millis() < readyMillis + DURATION_MILLIS) {
				if (connection == null) {
					connection = open(gateway);
				}
				if (connection == null || !sendOne(connection, operator, readyMillis) || !keeps) {
					if (connection != null) {
						connection.close();
					}
					connection = null;
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			if (connection != null) {
				connection.close();
			}
		}
	}

	private CallerConnection open(SoakProcess gateway) {
		try {
			return CallerConnection.open(gateway.boot(), gateway.address(), Integer.MAX_VALUE);
		}
		catch (IOException ex) {
			count("no connection");
			return null;
		}
	}

	private boolean sendOne(CallerConnection connection, SoakOperator operator, long readyMillis)
			throws InterruptedException {
		String id = "q" + this.nextId.incrementAndGet();
		RequestKind kind = (id.hashCode() % 3 == 0) ? RequestKind.PURCHASE : RequestKind.LYRICS;
		long sentMillis = this.clock.millis();
		SoakRequest request = new SoakRequest(id, kind, connection.gateway(), kind.pathPrefix() + id, "body of " + id,
				operator.allKeys().get(0), sentMillis, 0, SoakProfile.ALL_FAULTS.deadlineMillis());
		this.judge.requestSent(request);
		CallerResponse response = CallerResponse.none();
		try {
			connection.send(SoakCallers.format(request));
			response = connection.readResponse((headers) -> {
			});
		}
		catch (IOException ex) {
			// a connection that was closed before the request was sent
		}
		long waitedMillis = this.clock.millis() - sentMillis;
		if (response.status() == CallerResponse.NONE && waitedMillis < PATIENCE_MILLIS) {
			count("closed");
			synchronized (this.outcomes) {
				this.resets.add(id + " sent " + (sentMillis - readyMillis) + " ms after the gateway was ready, closed "
						+ waitedMillis + " ms later");
			}
		}
		else {
			count(String.valueOf(response.status()));
		}
		if (response.status() == 503) {
			Thread.sleep((long) (1000 * Double.parseDouble("0" + response.header("retry-after"))));
		}
		return response.complete() && !response.header("connection").equalsIgnoreCase("close");
	}

	private void count(String outcome) {
		synchronized (this.outcomes) {
			this.outcomes.computeIfAbsent(outcome, (key) -> new AtomicInteger()).incrementAndGet();
		}
	}

}
