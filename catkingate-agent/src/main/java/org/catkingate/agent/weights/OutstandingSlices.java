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

	private final TokenBucket downloadRate;

	OutstandingSlices(TokenBucket downloadRate) {
		this.downloadRate = downloadRate;
	}

	long reserve(Digest chunk, int offset, int length) {
		this.slices.computeIfAbsent(chunk, (digest) -> new ConcurrentHashMap<>()).put(offset, new Slice(length, 0));
		return this.downloadRate.take(length);
	}

	void markSent(Digest chunk, int offset, long nowMillis) {
		Map<Integer, Slice> ofChunk = this.slices.get(chunk);
		if (ofChunk != null) {
			ofChunk.computeIfPresent(offset, (position, slice) -> new Slice(slice.length(), nowMillis));
		}
	}

	long remove(Digest chunk, int offset, long nowMillis) {
		Map<Integer, Slice> ofChunk = this.slices.get(chunk);
		Slice slice = (ofChunk != null) ? ofChunk.remove(offset) : null;
		return (slice != null) ? nowMillis - slice.sentAtMillis() : 0;
	}

	void cancel(Digest chunk) {
		Map<Integer, Slice> ofChunk = this.slices.remove(chunk);
		if (ofChunk != null) {
			ofChunk.values().forEach((slice) -> this.downloadRate.refund(slice.length()));
		}
	}

	private record Slice(int length, long sentAtMillis) {

	}

}
