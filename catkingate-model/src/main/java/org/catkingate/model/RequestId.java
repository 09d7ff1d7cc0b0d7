package org.catkingate.model;

/**
 * The 128-bit identifier of a request, carried by every message that belongs to it.
 * Immutable and safe for use by any thread.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 * @since 0.1
 */
public record RequestId(long high, long low) {

	private static final int HEX_DIGITS = 32;

	/** The radix, which is also the number of digits of each half. */
	private static final int HEX_RADIX = 16;

	/**
	 * Parses the form that {@link #toString()} returns.
	 * @param text 32 hexadecimal digits
	 * @return the identifier, never null
	 * @throws IllegalArgumentException if the text is malformed
	 */
	public static RequestId parse(String text) {
		if (text.length() != HEX_DIGITS) {
			throw new IllegalArgumentException("request id must have 32 hexadecimal digits");
		}
		long high = Long.parseUnsignedLong(text.substring(0, HEX_RADIX), HEX_RADIX);
		long low = Long.parseUnsignedLong(text.substring(HEX_RADIX), HEX_RADIX);
		return new RequestId(high, low);
	}

	@Override
	public String toString() {
		return String.format("%016x%016x", this.high, this.low);
	}

}
