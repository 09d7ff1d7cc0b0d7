package org.catkingate.agent.requests;

import java.nio.charset.StandardCharsets;

/**
 * Watches a stream of server-sent events for its last one, {@code data: [DONE]}. Not safe
 * for use by several threads.
 */
final class EventStreamEnd {

	private static final String LAST = "data: [DONE]";

	private static final int KEPT_BYTES = 32;

	private byte[] last = new byte[0];

	void append(byte[] bytes) {
		if (bytes.length >= KEPT_BYTES) {
			this.last = new byte[KEPT_BYTES];
			System.arraycopy(bytes, bytes.length - KEPT_BYTES, this.last, 0, KEPT_BYTES);
			return;
		}
		int kept = Math.min(this.last.length, KEPT_BYTES - bytes.length);
		byte[] joined = new byte[kept + bytes.length];
		System.arraycopy(this.last, this.last.length - kept, joined, 0, kept);
		System.arraycopy(bytes, 0, joined, kept, bytes.length);
		this.last = joined;
	}

	boolean isWhole() {
		return new String(this.last, StandardCharsets.ISO_8859_1).stripTrailing().endsWith(LAST);
	}

}
