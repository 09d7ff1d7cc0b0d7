package org.catkingate.wire;

import java.security.MessageDigest;

/**
 * Comparison of byte arrays in constant time. Stateless.
 */
final class ConstantTimeComparator {

	private ConstantTimeComparator() {
	}

	static boolean areEqual(byte[] first, byte[] second) {
		return MessageDigest.isEqual(first, second);
	}

}
