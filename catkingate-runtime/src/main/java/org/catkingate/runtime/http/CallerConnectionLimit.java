package org.catkingate.runtime.http;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;

import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * The open connections of callers, whose number is limited, so that descriptors and
 * memory are left for everything else. At the limit, a new connection takes the place of
 * the one that has been idle for longest. While all have a request in progress, no other
 * is accepted. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class CallerConnectionLimit {

	/**
	 * The descriptors for files, other processes, the registry, operators and idle
	 * connections to runners.
	 */
	private static final int MAX_RESERVED_FILES = 512;

	/** The part that is reserved of few descriptors. */
	private static final int RESERVED_DIVISOR = 4;

	/** A request in progress has a connection to its runner as well. */
	private static final int FILES_PER_CONNECTION = 2;

	/** What the HTTP server holds on the heap for a connection, in bytes. */
	private static final int BYTES_PER_CONNECTION = 16 * 1024;

	/** The limit of a process that has hardly any descriptors. */
	private static final int MIN_CONNECTIONS = 16;

	/** The part of the limit from which connections are scarce, in quarters. */
	private static final int SCARCE_QUARTERS = 3;

	/** The connections that are being read without a request, the longest idle first. */
	private final Set<StreamConnection> idle = new LinkedHashSet<>();

	/** The connections that wait to be read or have a request in progress. */
	private final Set<StreamConnection> busy = new HashSet<>();

	private final LongAdder closedIdle = new LongAdder();

	private final LongAdder closedLeft = new LongAdder();

	private final LongAdder late = new LongAdder();

	private final LongAdder turnedAway = new LongAdder();

	private final int maxConnections;

	/**
	 * Creates a record without any connection.
	 * @param maxConnections the maximum number of connections
	 */
	public CallerConnectionLimit(int maxConnections) {
		if (maxConnections < 1) {
			throw new IllegalArgumentException("maxConnections must be positive");
		}
		this.maxConnections = maxConnections;
	}

	/**
	 * Returns the limit that follows from the resources of a process.
	 * @param openFiles the number of files and sockets that the process may open
	 * @param heapBytes the maximum size of the heap, in bytes
	 * @return the maximum number of connections
	 */
	public static int limitFor(int openFiles, long heapBytes) {
		int reserved = Math.min(MAX_RESERVED_FILES, openFiles / RESERVED_DIVISOR);
		long byFiles = (openFiles - reserved) / FILES_PER_CONNECTION;
		long max = Math.min(Math.min(byFiles, heapBytes / BYTES_PER_CONNECTION), Integer.MAX_VALUE);
		return (int) Math.max(MIN_CONNECTIONS, max);
	}

	/**
	 * Adds a connection that has been accepted and waits to be read, if there is room.
	 * @param connection the connection
	 * @return whether it was added; if not, it must be closed
	 */
	boolean add(StreamConnection connection) {
		StreamConnection replaced = null;
		synchronized (this) {
			if (this.idle.size() + this.busy.size() >= this.maxConnections) {
				Iterator<StreamConnection> longestIdle = this.idle.iterator();
				if (!longestIdle.hasNext()) {
					this.turnedAway.increment();
					return false;
				}
				replaced = longestIdle.next();
				longestIdle.remove();
			}
			this.busy.add(connection);
		}
		if (replaced != null) {
			closeUnlessBusy(replaced);
		}
		return true;
	}

	private void closeUnlessBusy(StreamConnection connection) {
		connection.getIoThread().execute(() -> {
			if (!isBusy(connection)) {
				this.closedIdle.increment();
				IoUtils.safeClose(connection);
			}
		});
	}

	private synchronized boolean isBusy(StreamConnection connection) {
		return this.busy.contains(connection);
	}

	synchronized void markBusy(StreamConnection connection) {
		this.idle.remove(connection);
		this.busy.add(connection);
	}

	synchronized void markIdle(StreamConnection connection) {
		if (this.busy.remove(connection)) {
			this.idle.add(connection);
		}
	}

	/**
	 * Closes a connection whose caller has left before it was read.
	 * @param connection the connection
	 */
	void closeLeft(StreamConnection connection) {
		if (connection.isOpen()) {
			this.closedLeft.increment();
			IoUtils.safeClose(connection);
		}
		remove(connection);
	}

	/**
	 * Counts a connection whose caller is told that its request has not run, since it has
	 * waited for too long.
	 */
	void countLate() {
		this.late.increment();
	}

	synchronized void remove(StreamConnection connection) {
		this.idle.remove(connection);
		this.busy.remove(connection);
	}

	/**
	 * Returns whether the limit is near, so that callers should not keep connections that
	 * are of no use to them.
	 * @return whether connections are scarce
	 */
	synchronized boolean isScarce() {
		return 4L * (this.idle.size() + this.busy.size()) >= (long) SCARCE_QUARTERS * this.maxConnections;
	}

	/**
	 * Returns the number of connections that wait to be read from which no others should
	 * be accepted. The rest is for those that are being read.
	 * @return half of the maximum number of connections
	 */
	int maxWaiting() {
		return this.maxConnections / 2;
	}

	/**
	 * Returns the number of open connections.
	 * @return the number
	 */
	public synchronized int size() {
		return this.idle.size() + this.busy.size();
	}

	/**
	 * Returns the counters for operators.
	 * @return the number of connections that were closed, by reason: idle for longest,
	 * all others busy, rejected since its request came too late to be read, or left by
	 * its caller before
	 */
	public Map<String, Long> closedCounts() {
		return Map.of("idle", this.closedIdle.sum(), "full", this.turnedAway.sum(), "late", this.late.sum(), "left",
				this.closedLeft.sum());
	}

}
