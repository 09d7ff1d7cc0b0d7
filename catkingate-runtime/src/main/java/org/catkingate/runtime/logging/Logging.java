package org.catkingate.runtime.logging;

import java.util.Objects;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
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
		ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
		appender.setContext(context);
		appender.setEncoder(encoder(context));
		appender.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.convertAnSLF4JLevel(level));
		root.addAppender(nonBlocking(context, appender));
		context.getLogger(XNIO_LOGGER).setLevel(Level.WARN);
		context.getLogger(UNDERTOW_LOGGER).setLevel(Level.WARN);
	}

	/*
	 * Lines are dropped if the reader of standard output falls behind, so that logging
	 * never blocks a thread.
	 */
	private static AsyncAppender nonBlocking(LoggerContext context, ConsoleAppender<ILoggingEvent> appender) {
		AsyncAppender queue = new AsyncAppender();
		queue.setContext(context);
		queue.setQueueSize(QUEUE_CAPACITY_LINES);
		queue.setDiscardingThreshold(0);
		queue.setNeverBlock(true);
		queue.addAppender(appender);
		queue.start();
		return queue;
	}

	/**
	 * Writes the queued lines and stops the logging of the process.
	 */
	public static void flush() {
		((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
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
