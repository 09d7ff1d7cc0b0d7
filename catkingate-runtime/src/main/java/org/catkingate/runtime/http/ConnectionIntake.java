package org.catkingate.runtime.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

import org.catkingate.runtime.MonotonicClock;

/**
 * The new connections of callers on one I/O thread, of which a few at a time begin to be
 * read. Between them the thread handles its other events, so that a burst of callers does
 * not delay connections to runners, other processes and the registry. Used by its I/O
 * thread only.
 */
final class ConnectionIntake {

	/**
	 * The number of connections that begin to be read before other events are handled.
	 */
	private static final int MAX_PER_TURN = 16;

	/** The minimum time between two turns. */
	private static final long MIN_PAUSE_MILLIS = 1;

	/**
	 * The maximum time between two turns. A turn in which the process was suspended lasts
	 * for as long as that.
	 */
	private static final long MAX_PAUSE_MILLIS = 50;

	/**
	 * The wait from which the newest connections come first. Callers that have waited for
	 * longer are more likely to have given up, so that in an overload some are served in
	 * time instead of all too late.
	 */
	private static final long FIRST_COME_FIRST_SERVED_MILLIS = 100;

	/**
	 * The wait after which a caller is told that its request has not run, while others
	 * wait: it may then go elsewhere within its time limit.
	 */
	private static final long MAX_WAIT_MILLIS = 800;

	private final Deque<Waiting> waiting = new ArrayDeque<>();

	private final XnioExecutor thread;

	private final MonotonicClock clock;

	private final Consumer<StreamConnection> starter;

	private final Predicate<StreamConnection> rejecter;

	private boolean turnScheduled;

	/**
	 * Creates an intake without connections.
	 * @param thread the I/O thread
	 * @param clock the clock
	 * @param starter begins to read a connection
	 * @param rejecter ends a connection that has waited for too long; returns false if it
	 * must be read as any other
	 */
	ConnectionIntake(XnioExecutor thread, MonotonicClock clock, Consumer<StreamConnection> starter,
			Predicate<StreamConnection> rejecter) {
		this.thread = thread;
		this.clock = clock;
		this.starter = starter;
		this.rejecter = rejecter;
	}

	void add(StreamConnection connection) {
		this.waiting.addLast(new Waiting(connection, this.clock.millis()));
		if (!this.turnScheduled) {
			startTurn();
		}
	}

	/*
	 * The I/O thread also runs tasks that have become due before it handles events, so
	 * the pause counts from the end of the turn and grows with its duration.
	 */
	private void startTurn() {
		this.turnScheduled = false;
		if (this.waiting.isEmpty()) {
			return;
		}
		long startedAtMillis = this.clock.millis();
		try {
			startWaiting(startedAtMillis);
		}
		finally {
			// also after a failure, since the connections that wait would be left alone
			this.turnScheduled = true;
			long pauseMillis = Math.min(MAX_PAUSE_MILLIS,
					Math.max(MIN_PAUSE_MILLIS, this.clock.millis() - startedAtMillis));
			this.thread.executeAfter(this::startTurn, pauseMillis, TimeUnit.MILLISECONDS);
		}
	}

	private void startWaiting(long nowMillis) {
		int started = 0;
		while (started < MAX_PER_TURN && this.waiting.size() > MAX_PER_TURN
				&& this.waiting.getFirst().isLongerThan(MAX_WAIT_MILLIS, nowMillis)) {
			StreamConnection next = this.waiting.removeFirst().connection();
			if (!this.rejecter.test(next)) {
				started++;
				this.starter.accept(next);
			}
		}
		while (started < MAX_PER_TURN && !this.waiting.isEmpty()) {
			boolean newestFirst = this.waiting.getFirst().isLongerThan(FIRST_COME_FIRST_SERVED_MILLIS, nowMillis);
			StreamConnection next = (newestFirst ? this.waiting.removeLast() : this.waiting.removeFirst()).connection();
			started++;
			this.starter.accept(next);
		}
	}

	/**
	 * A connection that has been accepted and not been read.
	 *
	 * @param connection the connection
	 * @param sinceMillis when it was accepted, in monotonic milliseconds
	 */
	private record Waiting(StreamConnection connection, long sinceMillis) {

		private boolean isLongerThan(long millis, long nowMillis) {
			return nowMillis - this.sinceMillis > millis;
		}

	}

}
