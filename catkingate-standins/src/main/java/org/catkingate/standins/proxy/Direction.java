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
 * One way of one connection: a thread that reads and stamps pieces, and one that sends
 * each when it is due. Its queue is bounded, so a slow receiver slows the sender.
 */
final class Direction {

	private static final int PIECE_BYTES = 16 * 1024;

	private static final int QUEUED_PIECES = 256;

	private static final long HOLD_LOOK_MILLIS = 5;

	private static final Piece END = new Piece(new byte[0], 0, 0);

	private final Socket source;

	private final Socket target;

	private final ProxyOptions options;

	private final TokenBucket link;

	private final BooleanSupplier silent;

	private final SplittableRandom random;

	private final BlockingQueue<Piece> queue = new ArrayBlockingQueue<>(QUEUED_PIECES);

	private final Runnable failed;

	private long lastDueNanos = System.nanoTime();

	Direction(Socket source, Socket target, ProxyOptions options, TokenBucket link, BooleanSupplier silent,
			SplittableRandom random, Runnable failed) {
		this.source = source;
		this.target = target;
		this.options = options;
		this.link = link;
		this.silent = silent;
		this.random = random;
		this.failed = failed;
	}

	void read() {
		try {
			byte[] buffer = new byte[PIECE_BYTES];
			int count = this.source.getInputStream().read(buffer);
			while (count >= 0) {
				if (!this.silent.getAsBoolean()) {
					this.queue.put(new Piece(corrupted(buffer, count), count, due(count)));
				}
				count = this.source.getInputStream().read(buffer);
			}
			if (!this.silent.getAsBoolean()) {
				this.queue.put(END);
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
		if (!this.silent.getAsBoolean()) {
			this.failed.run();
		}
	}

	private long due(int count) {
		long delay = this.options.delayMillis + this.link.take(count);
		if (this.options.jitterMillis > 0) {
			delay += this.random.nextLong(this.options.jitterMillis + 1);
		}
		if (chance(this.options.lossPercent)) {
			delay += this.options.retransmitMillis;
		}
		long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delay);
		this.lastDueNanos = (due - this.lastDueNanos > 0) ? due : this.lastDueNanos;
		return this.lastDueNanos;
	}

	private byte[] corrupted(byte[] buffer, int count) {
		byte[] bytes = Arrays.copyOf(buffer, count);
		if (chance(this.options.corruptPercent)) {
			bytes[this.random.nextInt(count)] ^= (byte) (1 << this.random.nextInt(Byte.SIZE));
		}
		return bytes;
	}

	private boolean chance(double percent) {
		return percent > 0 && this.random.nextDouble(100) < percent;
	}

	void write() {
		try {
			Piece piece = this.queue.take();
			while (piece != END) {
				awaitDue(piece);
				if (!this.silent.getAsBoolean()) {
					this.target.getOutputStream().write(piece.bytes(), 0, piece.count());
				}
				piece = this.queue.take();
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

	private void awaitDue(Piece piece) throws InterruptedException {
		TimeUnit.NANOSECONDS.sleep(piece.dueNanos() - System.nanoTime());
		while (this.options.hold) {
			Thread.sleep(HOLD_LOOK_MILLIS);
		}
	}

	private record Piece(byte[] bytes, int count, long dueNanos) {

	}

}
