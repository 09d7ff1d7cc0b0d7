package org.catkingate.wire;

import java.security.MessageDigest;

/**
 * A comparator of byte arrays in constant time, so that the time taken reveals nothing
 * about their content. Stateless.
 */
final class ConstantTimeComparator {

	private ConstantTimeComparator() {
	}

	static boolean areEqual(byte[] first, byte[] second) {
		return MessageDigest.isEqual(first, second);
	}

}
