package org.catkingate.standins.proxy;

import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.catkingate.standins.TokenBucket;

/**
 * A forwarder of bytes in one direction of a connection. One thread reads segments and
 * schedules them; another sends each segment at its due time. The queue between them is
 * bounded, so that a slow receiver slows down the sender.
 */
final class StreamForwarder {

	private static final int MAX_SEGMENT_BYTES = 16 * 1024;

	private static final int MAX_QUEUED_SEGMENTS = 256;

	private static final long HOLD_POLL_INTERVAL_MILLIS = 5;

	private static final Segment END_OF_STREAM = new Segment(new byte[0], 0, 0);

	private final Socket source;

	private final Socket target;

	private final ProxyOptions options;

	private final TokenBucket rateLimit;

	private final BooleanSupplier isSilent;

	private final SplittableRandom random;

	private final BlockingQueue<Segment> queue = new ArrayBlockingQueue<>(MAX_QUEUED_SEGMENTS);

	private final Runnable onFailure;

	private long lastDueNanos = System.nanoTime();

	StreamForwarder(Socket source, Socket target, ProxyOptions options, TokenBucket rateLimit, BooleanSupplier isSilent,
			SplittableRandom random, Runnable onFailure) {
		this.source = source;
		this.target = target;
		this.options = options;
		this.rateLimit = rateLimit;
		this.isSilent = isSilent;
		this.random = random;
		this.onFailure = onFailure;
	}

	void read() {
		try {
			byte[] buffer = new byte[MAX_SEGMENT_BYTES];
			int count = this.source.getInputStream().read(buffer);
			while (count >= 0) {
				if (!this.isSilent.getAsBoolean()) {
					this.queue.put(new Segment(copyOrCorrupt(buffer, count), count, dueNanos(count)));
				}
				count = this.source.getInputStream().read(buffer);
			}
			if (!this.isSilent.getAsBoolean()) {
				this.queue.put(END_OF_STREAM);
			}
		}
		catch (IOException ex) {
			failUnlessSilent();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void failUnlessSilent() {
		if (!this.isSilent.getAsBoolean()) {
			this.onFailure.run();
		}
	}

	private long dueNanos(int count) {
		long delay = this.options.delayMillis + this.rateLimit.take(count);
		if (this.options.jitterMillis > 0) {
			delay += this.random.nextLong(this.options.jitterMillis + 1);
		}
		if (occurs(this.options.lossPercent)) {
			delay += this.options.retransmitMillis;
		}
		long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delay);
		// a delayed segment also delays all later ones, as in TCP
		this.lastDueNanos = (due - this.lastDueNanos > 0) ? due : this.lastDueNanos;
		return this.lastDueNanos;
	}

	private byte[] copyOrCorrupt(byte[] buffer, int count) {
		byte[] bytes = Arrays.copyOf(buffer, count);
		if (occurs(this.options.corruptPercent)) {
			bytes[this.random.nextInt(count)] ^= (byte) (1 << this.random.nextInt(Byte.SIZE));
		}
		return bytes;
	}

	private boolean occurs(double percent) {
		return percent > 0 && this.random.nextDouble(100) < percent;
	}

	void write() {
		try {
			Segment segment = this.queue.take();
			while (segment != END_OF_STREAM) {
				awaitDue(segment);
				if (!this.isSilent.getAsBoolean()) {
					this.target.getOutputStream().write(segment.bytes(), 0, segment.count());
				}
				segment = this.queue.take();
			}
			this.target.shutdownOutput();
		}
		catch (IOException ex) {
			failUnlessSilent();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void awaitDue(Segment segment) throws InterruptedException {
		TimeUnit.NANOSECONDS.sleep(segment.dueNanos() - System.nanoTime());
		while (this.options.hold) {
			Thread.sleep(HOLD_POLL_INTERVAL_MILLIS);
		}
	}

	private record Segment(byte[] bytes, int count, long dueNanos) {

	}

}
