package org.catkingate.agent.weights;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.catkingate.model.Digest;

/**
 * Slices that have been requested and have not arrived. Their share of the download rate
 * is refunded if they are cancelled. Safe for use by any thread.
 */
final class OutstandingSlices {

	private final Map<Digest, Map<Integer, Slice>> slices = new ConcurrentHashMap<>();

	private final TokenBucket downloadRateLimit;

	OutstandingSlices(TokenBucket downloadRateLimit) {
		this.downloadRateLimit = downloadRateLimit;
	}

	/**
	 * Adds a slice that is about to be requested and takes its bytes from the download
	 * rate.
	 * @param chunk the chunk
	 * @param offset the position of the slice in the chunk
	 * @param length the size of the slice, in bytes
	 * @return the time to wait before the slice is requested, in milliseconds
	 */
	long reserve(Digest chunk, int offset, int length) {
		this.slices.computeIfAbsent(chunk, (digest) -> new ConcurrentHashMap<>()).put(offset, new Slice(length, 0));
		return this.downloadRateLimit.take(length);
	}

	void markSent(Digest chunk, int offset, long nowMillis) {
		Map<Integer, Slice> slicesOfChunk = this.slices.get(chunk);
		if (slicesOfChunk != null) {
			slicesOfChunk.computeIfPresent(offset, (position, slice) -> new Slice(slice.length(), nowMillis));
		}
	}

	/**
	 * Removes a slice that has arrived.
	 * @param chunk the chunk
	 * @param offset the position of the slice in the chunk
	 * @param nowMillis the monotonic time, in milliseconds
	 * @return the time since the slice was requested, in milliseconds; 0 if it was not
	 * outstanding
	 */
	long remove(Digest chunk, int offset, long nowMillis) {
		Map<Integer, Slice> slicesOfChunk = this.slices.get(chunk);
		Slice slice = (slicesOfChunk != null) ? slicesOfChunk.remove(offset) : null;
		return (slice != null) ? nowMillis - slice.sentAtMillis() : 0;
	}

	void cancel(Digest chunk) {
		Map<Integer, Slice> slicesOfChunk = this.slices.remove(chunk);
		if (slicesOfChunk != null) {
			slicesOfChunk.values().forEach((slice) -> this.downloadRateLimit.refund(slice.length()));
		}
	}

	private record Slice(int length, long sentAtMillis) {

	}

}
