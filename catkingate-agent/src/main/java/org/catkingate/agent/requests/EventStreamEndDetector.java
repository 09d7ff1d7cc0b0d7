package org.catkingate.agent.requests;

import java.nio.charset.StandardCharsets;

/**
 * Detector of the last event of a stream of server-sent events, {@code data: [DONE]}. Not
 * safe for use by several threads.
 */
final class EventStreamEndDetector {

	private static final String LAST_EVENT = "data: [DONE]";

	private static final int TAIL_BYTES = 32;

	private byte[] tail = new byte[0];

	void append(byte[] bytes) {
		if (bytes.length >= TAIL_BYTES) {
			this.tail = new byte[TAIL_BYTES];
			System.arraycopy(bytes, bytes.length - TAIL_BYTES, this.tail, 0, TAIL_BYTES);
			return;
		}
		int kept = Math.min(this.tail.length, TAIL_BYTES - bytes.length);
		byte[] joined = new byte[kept + bytes.length];
		System.arraycopy(this.tail, this.tail.length - kept, joined, 0, kept);
		System.arraycopy(bytes, 0, joined, kept, bytes.length);
		this.tail = joined;
	}

	boolean isComplete() {
		return new String(this.tail, StandardCharsets.ISO_8859_1).stripTrailing().endsWith(LAST_EVENT);
	}

}
