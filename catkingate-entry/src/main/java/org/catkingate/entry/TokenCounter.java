package org.catkingate.entry;

/**
 * Counts the events in a stream of server-sent events, each of which stands for a token,
 * by the empty lines that end them. Not safe for use by several threads.
 */
final class TokenCounter {

	private long count;

	private byte previous;

	void add(byte[] bytes, int from) {
		byte before = this.previous;
		for (int i = from; i < bytes.length; i++) {
			byte value = bytes[i];
			if (value == '\n' && before == '\n') {
				this.count++;
				before = 0;
			}
			else {
				before = value;
			}
		}
		this.previous = before;
	}

	/**
	 * Returns the count and starts again.
	 * @return how many since the last time
	 */
	long countThenReset() {
		long taken = this.count;
		this.count = 0;
		return taken;
	}

}
