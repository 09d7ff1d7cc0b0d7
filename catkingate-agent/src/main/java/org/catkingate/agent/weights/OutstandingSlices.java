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
