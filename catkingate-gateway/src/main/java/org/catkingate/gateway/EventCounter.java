package org.catkingate.gateway;

/**
 * A counter of the complete events of a stream. An event ends with an empty line. Not
 * thread-safe.
 */
final class EventCounter {

	private boolean lineEmpty = true;

	private boolean insideEvent;

	/**
	 * Adds bytes of the stream.
	 * @param bytes the bytes
	 * @return the number of events that end in them
	 */
	int add(byte[] bytes) {
		int ended = 0;
		for (byte character : bytes) {
			if (character == '\n') {
				ended += (this.lineEmpty && this.insideEvent) ? 1 : 0;
				this.insideEvent = this.insideEvent && !this.lineEmpty;
				this.lineEmpty = true;
			}
			else if (character != '\r') {
				this.lineEmpty = false;
				this.insideEvent = true;
			}
		}
		return ended;
	}

}
