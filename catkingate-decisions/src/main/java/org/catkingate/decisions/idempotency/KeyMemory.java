package org.catkingate.decisions.idempotency;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;

import org.catkingate.model.Digest;

/**
 * What one agent incarnation remembers of keyed calls. A key is held from its admission
 * on, and after its end until a stated time; nothing is forgotten sooner to make room,
 * new keys are refused instead. Reads no clock. Not safe for use by several threads at
 * once.
 *
 * @since 0.1
 */
public final class KeyMemory {

	private final int maxKeys;

	private final long maxBytes;

	private final Map<KeyScope, Entry> entries = new HashMap<>();

	private final PriorityQueue<Expiry> expiries = new PriorityQueue<>(Comparator.comparingLong(Expiry::atMillis));

	private long responseBytes;

	private KeyMemory(int maximumKeys, long maximumBytes) {
		this.maxKeys = maximumKeys;
		this.maxBytes = maximumBytes;
	}

	/**
	 * Makes an empty memory.
	 * @param maximumKeys how many keys are held at most
	 * @param maximumBytes the size of kept answers above which new keys are refused, in
	 * bytes
	 * @return the memory, never null
	 */
	public static KeyMemory bounded(int maximumKeys, long maximumBytes) {
		if (maximumKeys <= 0 || maximumBytes <= 0) {
			throw new IllegalArgumentException("bounds of the memory must be positive");
		}
		return new KeyMemory(maximumKeys, maximumBytes);
	}

	/**
	 * Looks up a call.
	 * @param scope its key
	 * @param content the digest of its content
	 * @return what is remembered, never null
	 */
	public Remembered find(KeyScope scope, Digest content) {
		Entry entry = this.entries.get(scope);
		if (entry == null) {
			boolean full = this.entries.size() >= this.maxKeys || this.responseBytes >= this.maxBytes;
			return Remembered.of((full) ? Remembered.Kind.FULL : Remembered.Kind.NEW);
		}
		if (!entry.content().equals(content)) {
			return Remembered.of(Remembered.Kind.OTHER_CONTENT);
		}
		return entry.remembered();
	}

	/**
	 * Takes in a new key, in progress.
	 * @param scope the key
	 * @param content the digest of the call's content
	 */
	public void begin(KeyScope scope, Digest content) {
		Objects.requireNonNull(content, "content must not be null");
		if (find(scope, content).kind() != Remembered.Kind.NEW) {
			throw new IllegalStateException("key is not new");
		}
		this.entries.put(scope, new Entry(content, Remembered.of(Remembered.Kind.IN_PROGRESS)));
	}

	/**
	 * Forgets a key in progress whose call was not started.
	 * @param scope the key
	 */
	public void release(KeyScope scope) {
		requireInProgress(scope);
		this.entries.remove(scope);
	}

	/**
	 * Takes note of a whole answer.
	 * @param scope the key
	 * @param answer the answer, or null if it is not kept
	 * @param forgetAtMillis until when to remember it, in milliseconds of the monotonic
	 * clock
	 */
	public void ended(KeyScope scope, KeptAnswer answer, long forgetAtMillis) {
		if (answer == null) {
			close(scope, Remembered.of(Remembered.Kind.ENDED_NOT_KEPT), forgetAtMillis);
			return;
		}
		this.responseBytes += answer.bodyBytes();
		close(scope, new Remembered(Remembered.Kind.ENDED, answer), forgetAtMillis);
	}

	/**
	 * Takes note that a started call broke off.
	 * @param scope the key
	 * @param forgetAtMillis until when to remember it, in milliseconds of the monotonic
	 * clock
	 */
	public void failed(KeyScope scope, long forgetAtMillis) {
		close(scope, Remembered.of(Remembered.Kind.OUTCOME_UNKNOWN), forgetAtMillis);
	}

	private void close(KeyScope scope, Remembered remembered, long forgetAtMillis) {
		Entry entry = requireInProgress(scope);
		this.entries.put(scope, new Entry(entry.content(), remembered));
		this.expiries.add(new Expiry(forgetAtMillis, scope));
	}

	private Entry requireInProgress(KeyScope scope) {
		Entry entry = this.entries.get(scope);
		if (entry == null || entry.remembered().kind() != Remembered.Kind.IN_PROGRESS) {
			throw new IllegalStateException("key is not in progress");
		}
		return entry;
	}

	/**
	 * Forgets what need not be remembered any longer.
	 * @param nowMillis the time, in milliseconds of the monotonic clock
	 */
	public void forgetUntil(long nowMillis) {
		while (!this.expiries.isEmpty() && this.expiries.peek().atMillis() < nowMillis) {
			Entry gone = this.entries.remove(this.expiries.poll().scope());
			if (gone.remembered().answer() != null) {
				this.responseBytes -= gone.remembered().answer().bodyBytes();
			}
		}
	}

	/**
	 * Counts the keys.
	 * @return how many are held
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Sums up the kept answers.
	 * @return their size, in bytes
	 */
	public long responseBytes() {
		return this.responseBytes;
	}

	private record Entry(Digest content, Remembered remembered) {

	}

	private record Expiry(long atMillis, KeyScope scope) {

	}

}
