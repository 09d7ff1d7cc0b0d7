package org.catkingate.runtime.logging;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import org.slf4j.event.KeyValuePair;

/**
 * A queue of lines for standard output. Lines are dropped if the reader of standard
 * output falls behind, so that logging never blocks a thread; they are counted, and the
 * count is logged once half of the queue is free or the queue is closed. Safe for use by
 * any thread.
 */
final class CountingAsyncAppender extends AsyncAppender {

	/** The place that is kept for the line with the count. */
	private static final int RESERVED_LINES = 1;

	private final AtomicLong accepted = new AtomicLong();

	private final CountingConsoleAppender console = new CountingConsoleAppender();

	private final Logger logger;

	private long dropped;

	/**
	 * Creates a queue that has not been started.
	 * @param capacity the maximum number of lines in the queue
	 * @param logger logs the number of dropped lines
	 */
	CountingAsyncAppender(int capacity, Logger logger) {
		this.logger = logger;
		setQueueSize(capacity);
		setDiscardingThreshold(0);
		setNeverBlock(true);
		addAppender(this.console);
	}

	ConsoleAppender<ILoggingEvent> console() {
		return this.console;
	}

	@Override
	protected synchronized void append(ILoggingEvent event) {
		if (getRemainingCapacity() > getQueueSize() / 2) {
			reportDropped();
		}
		if (getRemainingCapacity() <= RESERVED_LINES) {
			this.dropped++;
			return;
		}
		accept(event);
	}

	private void accept(ILoggingEvent event) {
		this.accepted.incrementAndGet();
		super.append(event);
	}

	private void reportDropped() {
		if (this.dropped == 0) {
			return;
		}
		LoggingEvent report = new LoggingEvent(getClass().getName(), this.logger, Level.WARN,
				"the reader of standard output fell behind; lines were dropped", null, null);
		report.setKeyValuePairs(
				List.of(new KeyValuePair("event", "lines-dropped"), new KeyValuePair("count", this.dropped)));
		this.dropped = 0;
		accept(report);
	}

	/**
	 * Closes the queue and writes its lines.
	 * @param maxMillis the maximum time for writing, in milliseconds, at least 1
	 * @return the number of lines that were not written in that time
	 */
	long close(int maxMillis) {
		synchronized (this) {
			reportDropped();
		}
		setMaxFlushTime(maxMillis);
		stop();
		return this.accepted.get() - this.console.written.get();
	}

	/**
	 * Writes lines to standard output and counts them.
	 */
	private static final class CountingConsoleAppender extends ConsoleAppender<ILoggingEvent> {

		private final AtomicLong written = new AtomicLong();

		@Override
		protected void append(ILoggingEvent event) {
			super.append(event);
			this.written.incrementAndGet();
		}

	}

}
