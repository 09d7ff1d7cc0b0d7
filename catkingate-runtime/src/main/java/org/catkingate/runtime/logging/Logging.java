package org.catkingate.runtime.logging;

import java.util.Objects;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import org.slf4j.LoggerFactory;

/**
 * Configures the logging of a process. Stateless; to be used once, by the main thread,
 * before it starts other threads.
 *
 * @since 0.1
 */
public final class Logging {

	/**
	 * The capacity of the queue of lines to be written: the output of a busy gateway in a
	 * few seconds.
	 */
	private static final int QUEUE_CAPACITY_LINES = 2048;

	private static final String QUEUE = "standard-output";

	private static final String XNIO_LOGGER = "org.xnio";

	private static final String UNDERTOW_LOGGER = "io.undertow";

	private Logging() {
	}

	/**
	 * Writes all logs to standard output, one JSON object per line.
	 * @param level the lowest level that is logged; libraries only log warnings and
	 * errors
	 */
	public static void toStandardOutput(org.slf4j.event.Level level) {
		Objects.requireNonNull(level, "level must not be null");
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		CountingAsyncAppender queue = new CountingAsyncAppender(QUEUE_CAPACITY_LINES, context.getLogger(Logging.class));
		queue.setName(QUEUE);
		queue.setContext(context);
		queue.console().setContext(context);
		queue.console().setEncoder(encoder(context));
		queue.console().start();
		queue.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.convertAnSLF4JLevel(level));
		root.addAppender(queue);
		context.getLogger(XNIO_LOGGER).setLevel(Level.WARN);
		context.getLogger(UNDERTOW_LOGGER).setLevel(Level.WARN);
	}

	/**
	 * Writes the queued lines and stops the logging of the process.
	 * @param maxMillis the maximum time for that, in milliseconds
	 * @return the number of lines that the reader of standard output has not accepted in
	 * that time
	 */
	public static long flush(long maxMillis) {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		long unwritten = 0;
		if (context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)
			.getAppender(QUEUE) instanceof CountingAsyncAppender queue) {
			unwritten = queue.close((int) Math.max(1, Math.min(maxMillis, Integer.MAX_VALUE)));
		}
		context.stop();
		return unwritten;
	}

	private static JsonEncoder encoder(LoggerContext context) {
		JsonEncoder encoder = new JsonEncoder();
		encoder.setContext(context);
		encoder.setWithSequenceNumber(false);
		encoder.setWithNanoseconds(false);
		encoder.setWithContext(false);
		encoder.setWithMarkers(false);
		encoder.setWithMDC(false);
		encoder.setWithMessage(false);
		encoder.setWithArguments(false);
		encoder.setWithFormattedMessage(true);
		encoder.start();
		return encoder;
	}

}
