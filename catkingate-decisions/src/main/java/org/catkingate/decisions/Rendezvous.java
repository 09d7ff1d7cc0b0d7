package org.catkingate.decisions;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.catkingate.model.InstanceId;

/**
 * Rendezvous hashing: every process that knows the same instances ranks them alike, and
 * one more or less moves only its own ranks. Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class Rendezvous {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private static final double STEP_OF_UNIT = 0x1.0p-53;

	private static final int UNUSED_BITS = 11;

	private Rendezvous() {
	}

	/**
	 * Hashes a text.
	 * @param text the text, never null
	 * @return the hash, the same in every process
	 */
	public static long hash(CharSequence text) {
		long hash = FNV_OFFSET;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * FNV_PRIME;
		}
		return mix(hash);
	}

	/**
	 * Scatters a value.
	 * @param value the value
	 * @return a value whose bits all depend on all bits of the first
	 */
	public static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

	/**
	 * Scores a pair of instances, in the same way for both.
	 * @param one an instance
	 * @param other another instance
	 * @return the score
	 */
	public static long pairScore(InstanceId one, InstanceId other) {
		return mix(hash(one.value()) + hash(other.value()));
	}

	/**
	 * Ranks instances for a key.
	 * @param key the hash of the key
	 * @param instances the instances
	 * @param count how many ranks are wanted
	 * @return the first in rank, in order
	 */
	public static List<InstanceId> rank(long key, Collection<InstanceId> instances, int count) {
		Comparator<InstanceId> order = Comparator.comparingLong((id) -> mix(key + mix(hash(id.value()))));
		return instances.stream().sorted(order.thenComparing((id) -> id)).limit(count).toList();
	}

	/**
	 * Makes a number between 0 and 1 from a seed, for jitter.
	 * @param seed the seed
	 * @return the number, 1 excluded
	 */
	public static double unit(long seed) {
		return (mix(seed) >>> UNUSED_BITS) * STEP_OF_UNIT;
	}

}
