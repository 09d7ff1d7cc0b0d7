package org.catkingate.decisions.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * The bytes that a gateway holds for callers that have not read them yet, over all
 * responses. The sum is bounded; above it, the responses that have been unread for the
 * longest have to give up their memory. Not thread-safe.
 *
 * @param <R> the type of a response, compared by identity
 * @since 0.1
 */
public final class UnreadResponses<R> {

	private final Map<R, Unread> unread = new IdentityHashMap<>();

	private final long maxBytes;

	private long totalBytes;

	/**
	 * Creates the record, without any response.
	 * @param maxBytes the bound of the sum
	 */
	public UnreadResponses(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Records what is held for a response.
	 * @param response the response
	 * @param heldBytes the bytes that are held for it
	 * @param readBytes the bytes that its caller has taken so far
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the responses to cut, which are not counted any more
	 */
	public List<Cut<R>> record(R response, long heldBytes, long readBytes, long nowMillis) {
		Unread previous = this.unread.get(response);
		remove(response);
		if (heldBytes == 0) {
			return List.of();
		}
		long since = (previous != null && previous.readBytes() == readBytes) ? previous.sinceMillis() : nowMillis;
		this.unread.put(response, new Unread(heldBytes, readBytes, since));
		this.totalBytes += heldBytes;
		List<Cut<R>> cuts = new ArrayList<>();
		while (this.totalBytes > this.maxBytes) {
			cuts.add(cutOldest(nowMillis));
		}
		return cuts;
	}

	/*
	 * Among those unread for the same time, the largest is cut, so that the fewest are.
	 */
	private Cut<R> cutOldest(long nowMillis) {
		Map.Entry<R, Unread> oldest = this.unread.entrySet()
			.stream()
			.min(Comparator.comparingLong((Map.Entry<R, Unread> entry) -> entry.getValue().sinceMillis())
				.thenComparing((entry) -> entry.getValue().heldBytes(), Comparator.reverseOrder()))
			.orElseThrow();
		Cut<R> cut = new Cut<>(oldest.getKey(), oldest.getValue().heldBytes(),
				nowMillis - oldest.getValue().sinceMillis());
		remove(cut.response());
		return cut;
	}

	/**
	 * Removes a response that has ended.
	 * @param response the response
	 */
	public void remove(R response) {
		Unread removed = this.unread.remove(response);
		this.totalBytes -= (removed != null) ? removed.heldBytes() : 0;
	}

	/**
	 * Returns up to how many bytes may be held for one response now: as much as is free
	 * for all, so that each new response finds about as much room as the largest one has.
	 * @param minBytes the number of bytes that may be held in any case
	 * @return the number of bytes
	 */
	public long shareBytes(long minBytes) {
		return Math.max(minBytes, this.maxBytes - this.totalBytes);
	}

	/**
	 * Returns the sum of all bytes that are held.
	 * @return the number of bytes, at most the bound
	 */
	public long totalBytes() {
		return this.totalBytes;
	}

	/**
	 * A response to cut.
	 *
	 * @param <R> the type of a response
	 * @param response the response
	 * @param heldBytes the bytes that were held for it
	 * @param unreadMillis the time for which its caller has taken nothing
	 */
	public record Cut<R>(R response, long heldBytes, long unreadMillis) {

	}

	/**
	 * What is held for a response.
	 *
	 * @param heldBytes the number of bytes
	 * @param readBytes the bytes that the caller had taken when it took some last
	 * @param sinceMillis the time of that, in monotonic milliseconds
	 */
	private record Unread(long heldBytes, long readBytes, long sinceMillis) {

	}

}
