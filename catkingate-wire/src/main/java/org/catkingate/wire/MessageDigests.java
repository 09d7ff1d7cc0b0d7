package org.catkingate.wire;

import java.security.MessageDigest;

/**
 * Comparison in constant time. Stateless.
 */
final class MessageDigests {

	private MessageDigests() {
	}

	static boolean equal(byte[] first, byte[] second) {
		return MessageDigest.isEqual(first, second);
	}

}
