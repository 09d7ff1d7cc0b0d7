package org.catkingate.decisions.routing;

import java.nio.charset.StandardCharsets;

/**
 * 64-bit hash functions with the same results in every process: FNV-1a, followed by the
 * finaliser of MurmurHash3. Not suitable for cryptographic use. Stateless.
 *
 * @since 0.1
 */
public final class Hashes {

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private Hashes() {
	}

	/**
	 * Hashes a text.
	 * @param text the text, never null
	 * @return the hash
	 */
	public static long hash(String text) {
		long hash = FNV_OFFSET;
		for (byte value : text.getBytes(StandardCharsets.UTF_8)) {
			hash = (hash ^ (value & 0xff)) * FNV_PRIME;
		}
		return mix(hash);
	}

	/**
	 * Combines two hashes; the order matters.
	 * @param first the first hash
	 * @param second the second hash
	 * @return the combined hash
	 */
	public static long combine(long first, long second) {
		return mix(first * 0x9e3779b97f4a7c15L + second);
	}

	private static long mix(long value) {
		long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
		mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return mixed ^ (mixed >>> 33);
	}

}
