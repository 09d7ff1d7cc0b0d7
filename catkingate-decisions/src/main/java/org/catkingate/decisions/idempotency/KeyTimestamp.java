package org.catkingate.decisions.idempotency;

import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * A parser of the creation time of keys that are UUIDs of version 7, whose first 48 bits
 * are the time in milliseconds since 1970. Stateless.
 */
final class KeyTimestamp {

	private static final Pattern UUID_VERSION_7 = Pattern
		.compile("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");

	private static final int HIGH_DIGITS = 8;

	private static final int LOW_START = 9;

	private static final int LOW_END = 13;

	private static final int HEX_RADIX = 16;

	private KeyTimestamp() {
	}

	/**
	 * Returns the creation time of a key.
	 * @param key the key
	 * @return the time in milliseconds since 1970, or empty if the key has no timestamp
	 */
	static OptionalLong createdAtMillis(String key) {
		if (!UUID_VERSION_7.matcher(key).matches()) {
			return OptionalLong.empty();
		}
		String digits = key.substring(0, HIGH_DIGITS) + key.substring(LOW_START, LOW_END);
		return OptionalLong.of(Long.parseLong(digits, HEX_RADIX));
	}

}
