package org.catkingate.decisions.idempotency;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;

import org.catkingate.model.Digest;

/**
 * The bounded memory of one agent incarnation of the keys of calls and of their outcomes.
 * A key is retained from its admission on, and after the end of its call until a given
 * time. No key is evicted earlier to make room; new keys are rejected instead. Reads no
 * clock. Not thread-safe.
 *
 * @since 0.1
 */
public final class KeyMemory {

	private final int maxKeys;

	private final long maxBytes;

	private final Map<ScopedKey, Entry> entries = new HashMap<>();

	private final PriorityQueue<Expiry> expiries = new PriorityQueue<>(Comparator.comparingLong(Expiry::atMillis));

	private long responseBytes;

	private KeyMemory(int maxKeys, long maxBytes) {
		this.maxKeys = maxKeys;
		this.maxBytes = maxBytes;
	}

	/**
	 * Creates an empty memory.
	 * @param maxKeys the maximum number of keys
	 * @param maxBytes the total size of stored responses at which new keys are rejected,
	 * in bytes
	 * @return the memory, never null
	 */
	public static KeyMemory bounded(int maxKeys, long maxBytes) {
		if (maxKeys <= 0 || maxBytes <= 0) {
			throw new IllegalArgumentException("maximum number of keys and maximum size must be positive");
		}
		return new KeyMemory(maxKeys, maxBytes);
	}

	/**
	 * Looks up the key of a call.
	 * @param scopedKey the key
	 * @param content the digest of the call's content
	 * @return the result, never null
	 */
	public KeyLookupResult find(ScopedKey scopedKey, Digest content) {
		Entry entry = this.entries.get(scopedKey);
		if (entry == null) {
			boolean isFull = this.entries.size() >= this.maxKeys || this.responseBytes >= this.maxBytes;
			return KeyLookupResult.of((isFull) ? KeyLookupResult.Kind.FULL : KeyLookupResult.Kind.NEW);
		}
		if (!entry.content().equals(content)) {
			return KeyLookupResult.of(KeyLookupResult.Kind.OTHER_CONTENT);
		}
		return entry.result();
	}

	/**
	 * Adds a new key whose call is in progress.
	 * @param scopedKey the key
	 * @param content the digest of the call's content
	 */
	public void begin(ScopedKey scopedKey, Digest content) {
		Objects.requireNonNull(content, "content must not be null");
		if (find(scopedKey, content).kind() != KeyLookupResult.Kind.NEW) {
			throw new IllegalStateException("key is remembered already, or the memory is full");
		}
		this.entries.put(scopedKey, new Entry(content, KeyLookupResult.of(KeyLookupResult.Kind.IN_PROGRESS)));
	}

	/**
	 * Removes a key in progress whose call was not started.
	 * @param scopedKey the key
	 */
	public void release(ScopedKey scopedKey) {
		requireInProgress(scopedKey);
		this.entries.remove(scopedKey);
	}

	/**
	 * Records that a call ended with a complete response.
	 * @param scopedKey the key
	 * @param response the response, or null if it is not stored
	 * @param retainUntilMillis the time until which to retain the key, in milliseconds of
	 * the monotonic clock
	 */
	public void complete(ScopedKey scopedKey, StoredResponse response, long retainUntilMillis) {
		if (response == null) {
			close(scopedKey, KeyLookupResult.of(KeyLookupResult.Kind.ENDED_NOT_KEPT), retainUntilMillis);
			return;
		}
		this.responseBytes += response.bodyBytes();
		close(scopedKey, new KeyLookupResult(KeyLookupResult.Kind.ENDED, response), retainUntilMillis);
	}

	/**
	 * Records that a started call ended without a complete response.
	 * @param scopedKey the key
	 * @param retainUntilMillis the time until which to retain the key, in milliseconds of
	 * the monotonic clock
	 */
	public void fail(ScopedKey scopedKey, long retainUntilMillis) {
		close(scopedKey, KeyLookupResult.of(KeyLookupResult.Kind.OUTCOME_UNKNOWN), retainUntilMillis);
	}

	private void close(ScopedKey scopedKey, KeyLookupResult result, long retainUntilMillis) {
		Entry entry = requireInProgress(scopedKey);
		this.entries.put(scopedKey, new Entry(entry.content(), result));
		this.expiries.add(new Expiry(retainUntilMillis, scopedKey));
	}

	private Entry requireInProgress(ScopedKey scopedKey) {
		Entry entry = this.entries.get(scopedKey);
		if (entry == null || entry.result().kind() != KeyLookupResult.Kind.IN_PROGRESS) {
			throw new IllegalStateException("key is not in progress");
		}
		return entry;
	}

	/**
	 * Removes the keys whose retention time has passed.
	 * @param nowMillis the time, in milliseconds of the monotonic clock
	 */
	public void removeExpired(long nowMillis) {
		while (!this.expiries.isEmpty() && this.expiries.peek().atMillis() < nowMillis) {
			Entry removed = this.entries.remove(this.expiries.poll().scopedKey());
			if (removed.result().response() != null) {
				this.responseBytes -= removed.result().response().bodyBytes();
			}
		}
	}

	/**
	 * Returns the number of keys.
	 * @return the number of keys held
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Returns the total size of the stored responses.
	 * @return the size, in bytes
	 */
	public long responseBytes() {
		return this.responseBytes;
	}

	private record Entry(Digest content, KeyLookupResult result) {

	}

	private record Expiry(long atMillis, ScopedKey scopedKey) {

	}

}
