package org.catkingate.standins.weights;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The byte range of a request. Immutable.
 *
 * @param first the first byte
 * @param last the last byte, inclusive
 * @param requested whether the request has a range header
 */
record ByteRange(long first, long last, boolean requested) {

	private static final Pattern RANGE_HEADER = Pattern.compile("bytes=(\\d+)-(\\d*)");

	static ByteRange parse(String header, long totalBytes) {
		Matcher matcher = RANGE_HEADER.matcher((header != null) ? header : "");
		if (!matcher.matches()) {
			return new ByteRange(0, totalBytes - 1, false);
		}
		long last = matcher.group(2).isEmpty() ? totalBytes - 1 : Long.parseLong(matcher.group(2));
		return new ByteRange(Long.parseLong(matcher.group(1)), Math.min(last, totalBytes - 1), true);
	}

	boolean isEmpty() {
		return this.first > this.last;
	}

	long count() {
		return this.last - this.first + 1;
	}

}
