package org.catkingate.decisions;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;

/**
 * Rendezvous hashing: all processes with the same list of instances compute the same
 * ranking, and adding or removing an instance changes no other instance's relative rank.
 * Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class RendezvousHashing {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private static final int HEX_RADIX = 16;

	private static final int HASH_HEX_DIGITS = 16;

	private static final double DOUBLE_UNIT = 0x1.0p-53;

	// a double has a precision of 53 bits
	private static final int BITS_BEYOND_DOUBLE_PRECISION = 11;

	private RendezvousHashing() {
	}

	/**
	 * Hashes a text by 64-bit FNV-1a over its UTF-16 code units, followed by
	 * {@link #mix}.
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
	 * Returns the hash of a digest. Its bits are uniformly distributed already, so they
	 * are used without mixing.
	 * @param digest the digest
	 * @return its first 64 bits
	 */
	public static long hash(Digest digest) {
		return Long.parseUnsignedLong(digest.hex(), 0, HASH_HEX_DIGITS, HEX_RADIX);
	}

	/**
	 * Mixes the bits of a value with the finalizer of SplitMix64.
	 * @param value the value
	 * @return a value each of whose bits depends on all bits of the input
	 */
	public static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

	/**
	 * Computes the score of a candidate for a key. The candidate with the lowest score
	 * ranks first.
	 * @param key the hash of the key
	 * @param candidate the hash of the candidate
	 * @return the score
	 */
	public static long score(long key, long candidate) {
		return mix(key + mix(candidate));
	}

	/**
	 * Computes the score of a pair of instances, which does not depend on their order.
	 * @param first an instance
	 * @param second another instance
	 * @return the score
	 */
	public static long pairScore(InstanceId first, InstanceId second) {
		return mix(hash(first.value()) + hash(second.value()));
	}

	/**
	 * Returns the highest-ranked instances for a key.
	 * @param key the hash of the key
	 * @param instances the instances
	 * @param count the maximum number of results
	 * @return the first {@code count} of the ranking, in order
	 */
	public static List<InstanceId> rank(long key, Collection<InstanceId> instances, int count) {
		return rank(key, instances, (id) -> id, count);
	}

	/**
	 * Returns the highest-ranked candidates for a key, each ranked by its instance.
	 * @param <T> the type of candidate
	 * @param key the hash of the key
	 * @param candidates the candidates
	 * @param toInstance maps a candidate to its instance
	 * @param count the maximum number of results
	 * @return the first {@code count} of the ranking, in order
	 */
	public static <T> List<T> rank(long key, Collection<T> candidates, Function<T, InstanceId> toInstance, int count) {
		Comparator<T> byScore = Comparator
			.comparingLong((candidate) -> score(key, hash(toInstance.apply(candidate).value())));
		return candidates.stream().sorted(byScore.thenComparing(toInstance)).limit(count).toList();
	}

	/**
	 * Maps a seed to a uniformly distributed number between 0 and 1, for jitter.
	 * @param seed the seed
	 * @return the number, from 0 inclusive to 1 exclusive
	 */
	public static double uniform(long seed) {
		return (mix(seed) >>> BITS_BEYOND_DOUBLE_PRECISION) * DOUBLE_UNIT;
	}

}
