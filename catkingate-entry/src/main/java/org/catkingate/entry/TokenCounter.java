package org.catkingate.entry;

/**
 * A counter of tokens in a stream of server-sent events. Each event is a token and ends
 * with an empty line. Not safe for use by several threads.
 */
final class TokenCounter {

	private long count;

	private byte previous;

	void add(byte[] bytes, int from) {
		byte last = this.previous;
		for (int i = from; i < bytes.length; i++) {
			byte value = bytes[i];
			if (value == '\n' && last == '\n') {
				this.count++;
				last = 0;
			}
			else {
				last = value;
			}
		}
		this.previous = last;
	}

	/**
	 * Returns the count and resets it to zero.
	 * @return the number of tokens since the previous call
	 */
	long countThenReset() {
		long result = this.count;
		this.count = 0;
		return result;
	}

}
