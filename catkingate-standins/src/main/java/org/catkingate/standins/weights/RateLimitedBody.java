package org.catkingate.standins.weights;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;

import org.catkingate.standins.HttpService;
import org.catkingate.standins.TokenBucket;

/**
 * A response body that sends a range of weights at the rate of the server's link.
 * Confined to the I/O thread of its connection.
 */
final class RateLimitedBody {

	private static final int MAX_BLOCK_BYTES = 32 * 1024;

	private final HttpServerExchange exchange;

	private final GeneratedWeights weights;

	private final ByteRange range;

	private final WeightsOptions options;

	private final TokenBucket linkRateLimit;

	private final ServedCounts servedCounts;

	private final boolean corrupt;

	private StreamSinkChannel channel;

	private ByteBuffer pending = ByteBuffer.allocate(0);

	private long sentBytes;

	RateLimitedBody(HttpServerExchange exchange, GeneratedWeights weights, ByteRange range, WeightsOptions options,
			TokenBucket linkRateLimit, ServedCounts servedCounts, boolean corrupt) {
		this.exchange = exchange;
		this.weights = weights;
		this.range = range;
		this.options = options;
		this.linkRateLimit = linkRateLimit;
		this.servedCounts = servedCounts;
		this.corrupt = corrupt;
	}

	void start() {
		this.channel = this.exchange.getResponseChannel();
		this.channel.getWriteSetter().set((writable) -> write());
		scheduleNextBlock();
	}

	private void scheduleNextBlock() {
		if (this.sentBytes == this.range.count()) {
			finish();
			return;
		}
		int count = (int) Math.min(MAX_BLOCK_BYTES, this.range.count() - this.sentBytes);
		this.pending = ByteBuffer.wrap(generateBlock(this.range.first() + this.sentBytes, count));
		long waitMillis = this.linkRateLimit.take(count);
		if (waitMillis > 0) {
			this.exchange.getIoThread().executeAfter(this::write, waitMillis, TimeUnit.MILLISECONDS);
		}
		else {
			this.exchange.getIoThread().execute(this::write);
		}
	}

	private byte[] generateBlock(long start, int count) {
		byte[] bytes = this.weights.bytes(start, count);
		long corruptOffset = (long) this.options.corruptChunk * this.weights.specification().chunkBytes();
		if (this.corrupt && corruptOffset >= start && corruptOffset < start + count) {
			bytes[(int) (corruptOffset - start)] ^= 1;
		}
		return bytes;
	}

	private void write() {
		try {
			while (this.pending.hasRemaining()) {
				if (isStalled()) {
					this.channel.suspendWrites();
					this.exchange.getIoThread().executeAfter(this::write, 50, TimeUnit.MILLISECONDS);
					return;
				}
				int count = writeAndCount();
				if (count == 0) {
					this.channel.resumeWrites();
					return;
				}
				this.sentBytes += count;
				if (mustReset()) {
					HttpService.closeConnection(this.exchange);
					return;
				}
			}
			this.channel.suspendWrites();
			scheduleNextBlock();
		}
		catch (IOException ex) {
			HttpService.closeConnection(this.exchange);
		}
	}

	/*
	 * Counts the bytes before they are written, so that a client that has read them finds
	 * them counted.
	 */
	private int writeAndCount() throws IOException {
		int offered = this.pending.remaining();
		this.servedCounts.dataBytes().addAndGet(offered);
		int written = 0;
		try {
			written = this.channel.write(this.pending);
			return written;
		}
		finally {
			this.servedCounts.dataBytes().addAndGet(written - offered);
		}
	}

	private boolean isStalled() {
		return this.options.stallAfterBytes >= 0 && this.sentBytes >= this.options.stallAfterBytes;
	}

	private boolean mustReset() {
		return this.options.resetAfterBytes >= 0 && this.sentBytes >= this.options.resetAfterBytes;
	}

	private void finish() {
		try {
			this.channel.shutdownWrites();
			if (!this.channel.flush()) {
				this.channel.getWriteSetter()
					.set(ChannelListeners.flushingChannelListener(null,
							ChannelListeners.closingChannelExceptionHandler()));
				this.channel.resumeWrites();
			}
		}
		catch (IOException ex) {
			HttpService.closeConnection(this.exchange);
		}
	}

}
