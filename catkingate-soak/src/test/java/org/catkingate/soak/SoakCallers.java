package org.catkingate.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Callers that send requests until they are stopped. Each keeps its connection until the
 * gateway closes it or its process is gone. Safe for use by any thread.
 */
final class SoakCallers {

	private static final int MAX_PAUSE_MILLIS = 40;

	private static final int ABANDONED_PERCENT = 4;

	/** The time within which callers expect a response, in milliseconds. */
	static final long DEADLINE_MILLIS = 2500;

	/** The part of the connections over which callers read slowly. */
	private static final int SLOW_PERCENT = 20;

	private static final int SLOW_BYTES_PER_SECOND = 100_000;

	private static final long STOP_LIMIT_MILLIS = TimeUnit.SECONDS.toMillis(30);

	private final AtomicLong nextId = new AtomicLong();

	private final List<Thread> threads = new ArrayList<>();

	private final List<SoakProcess> gateways;

	private final SoakOperator operator;

	private final Judge judge;

	private final SoakClock clock;

	private volatile boolean stopped;

	private SoakCallers(SoakFleet fleet, Judge judge, SoakClock clock) {
		this.gateways = fleet.gateways();
		this.operator = fleet.operator();
		this.judge = judge;
		this.clock = clock;
	}

	static SoakCallers start(int count, SoakFleet fleet, Judge judge, SoakClock clock, SplittableRandom random) {
		SoakCallers callers = new SoakCallers(fleet, judge, clock);
		for (int i = 0; i < count; i++) {
			SplittableRandom own = random.split();
			Thread thread = new Thread(() -> callers.run(own), "caller-" + i);
			thread.setDaemon(true);
			callers.threads.add(thread);
			thread.start();
		}
		return callers;
	}

	private void run(SplittableRandom random) {
		CallerConnection connection = null;
		try {
			while (!this.stopped) {
				try {
					if (connection == null) {
						SoakProcess gateway = this.gateways.get(random.nextInt(this.gateways.size()));
						boolean slow = random.nextInt(100) < SLOW_PERCENT;
						connection = CallerConnection.open(gateway.boot(), gateway.address(),
								slow ? SLOW_BYTES_PER_SECOND : Integer.MAX_VALUE);
					}
					if (!sendOne(connection, random)) {
						connection.close();
						connection = null;
					}
				}
				catch (IOException ex) {
					// the gateway is down or has closed the connection, so another one is
					// used
					if (connection != null) {
						connection.close();
					}
					connection = null;
				}
				Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
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

	/*
	 * Returns whether the connection can be used again.
	 */
	private boolean sendOne(CallerConnection connection, SplittableRandom random) throws IOException {
		String unexpected = connection.readUnexpected();
		if (!unexpected.isEmpty()) {
			this.judge.unexpectedBytes(connection.gateway(), unexpected);
			return false;
		}
		SoakRequest request = createRequest(connection.gateway(), random);
		this.judge.requestSent(request);
		connection.send(format(request));
		if (random.nextInt(100) < ABANDONED_PERCENT) {
			return false;
		}
		CallerResponse response = connection.readResponse();
		this.judge.responseReceived(request.id(), response, this.clock.millis());
		return response.complete() && !response.header("connection").equalsIgnoreCase("close");
	}

	private SoakRequest createRequest(String gateway, SplittableRandom random) {
		RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
		String id = "q" + this.nextId.incrementAndGet();
		String path = kind.pathPrefix() + ((kind == RequestKind.PROBE) ? this.operator.version() + "/" : "") + id;
		String body = (kind.type().equals("idempotent")) ? "" : "body of " + id;
		List<String> keys = this.operator.allKeys();
		return new SoakRequest(id, kind, gateway, path, body, keys.get(random.nextInt(keys.size())),
				this.clock.millis());
	}

	static String format(SoakRequest request) {
		boolean get = request.body().isEmpty();
		return (get ? "GET " : "POST ") + request.path() + " HTTP/1.1\r\nHost: " + SoakOperator.HOST
				+ "\r\nX-Request-Id: " + request.id() + "\r\nX-Deadline-Ms: " + DEADLINE_MILLIS
				+ "\r\nAuthorization: Bearer " + request.key() + "\r\n"
				+ (request.kind().isStream() ? "X-Model: " + ModelWeights.MODEL + "\r\nX-Token-Counts: 100,30\r\n" : "")
				+ (get ? "\r\n" : "Content-Length: " + request.body().length() + "\r\n\r\n" + request.body());
	}

	/**
	 * Stops the callers and waits until each has received its last response.
	 */
	void close() {
		this.stopped = true;
		try {
			for (Thread thread : this.threads) {
				thread.join(STOP_LIMIT_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
