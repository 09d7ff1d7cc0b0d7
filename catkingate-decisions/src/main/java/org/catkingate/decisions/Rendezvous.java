package org.catkingate.decisions;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import org.catkingate.model.Digest;
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

	private static final int HEX_RADIX = 16;

	private static final int HASH_HEX_DIGITS = 16;

	private static final double DOUBLE_UNIT = 0x1.0p-53;

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
	 * Takes the hash of a digest, which is scattered already.
	 * @param digest the digest
	 * @return its first 64 bits
	 */
	public static long hash(Digest digest) {
		return Long.parseUnsignedLong(digest.hex(), 0, HASH_HEX_DIGITS, HEX_RADIX);
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
	 * Scores a candidate for a key; the lowest score is the first in rank.
	 * @param key the hash of the key
	 * @param candidate the hash of the candidate
	 * @return the score
	 */
	public static long score(long key, long candidate) {
		return mix(key + mix(candidate));
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
		return rank(key, instances, (id) -> id, count);
	}

	/**
	 * Ranks what stands on instances for a key.
	 * @param <T> what is ranked
	 * @param key the hash of the key
	 * @param candidates the candidates
	 * @param instance gives the instance of a candidate
	 * @param count how many ranks are wanted
	 * @return the first in rank, in order
	 */
	public static <T> List<T> rank(long key, Collection<T> candidates, Function<T, InstanceId> instance, int count) {
		Comparator<T> order = Comparator
			.comparingLong((candidate) -> score(key, hash(instance.apply(candidate).value())));
		return candidates.stream().sorted(order.thenComparing(instance)).limit(count).toList();
	}

	/**
	 * Makes a number between 0 and 1 from a seed, for jitter.
	 * @param seed the seed
	 * @return the number, 1 excluded
	 */
	public static double unit(long seed) {
		return (mix(seed) >>> UNUSED_BITS) * DOUBLE_UNIT;
	}

}
