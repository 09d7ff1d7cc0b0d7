package org.catkingate.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * A splitter of a stream of server-sent events into events, whose ids it parses. Not safe
 * for use by several threads.
 */
final class EventSplitter {

	private static final String ID_FIELD = "id:";

	private static final String DATA_FIELD = "data";

	private byte[] remainder = new byte[0];

	private int scannedBytes;

	/**
	 * Adds bytes and passes each event that is complete now to a consumer.
	 * @param bytes the bytes
	 * @param consumer receives the events in order
	 */
	void add(byte[] bytes, Consumer<Event> consumer) {
		byte[] all = withRemainder(bytes);
		int start = 0;
		for (int i = this.scannedBytes; i < all.length; i++) {
			if (isEventEnd(all, i, start)) {
				byte[] complete = Arrays.copyOfRange(all, start, i + 1);
				consumer.accept(parse(complete));
				start = i + 1;
			}
		}
		this.remainder = Arrays.copyOfRange(all, start, all.length);
		this.scannedBytes = this.remainder.length;
	}

	private byte[] withRemainder(byte[] bytes) {
		if (this.remainder.length == 0) {
			return bytes;
		}
		byte[] all = Arrays.copyOf(this.remainder, this.remainder.length + bytes.length);
		System.arraycopy(bytes, 0, all, this.remainder.length, bytes.length);
		return all;
	}

	// an empty line ends an event; lines end with LF or CR LF
	private static boolean isEventEnd(byte[] all, int at, int start) {
		if (all[at] != '\n' || at <= start) {
			return false;
		}
		int before = (all[at - 1] == '\r') ? at - 2 : at - 1;
		return before >= start && all[before] == '\n';
	}

	/**
	 * Returns whether an event has started and is not complete.
	 * @return whether bytes of an incomplete event are buffered, other than empty lines
	 */
	boolean hasIncompleteEvent() {
		for (byte character : this.remainder) {
			if (character != '\r' && character != '\n') {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns the length of the incomplete event.
	 * @return the number of bytes that are buffered
	 */
	int incompleteBytes() {
		return this.remainder.length;
	}

	/**
	 * Discards the bytes of an incomplete event.
	 */
	void clear() {
		this.remainder = new byte[0];
		this.scannedBytes = 0;
	}

	private static Event parse(byte[] event) {
		Long id = null;
		boolean hasData = false;
		for (String line : new String(event, StandardCharsets.UTF_8).split("\r?\n")) {
			id = line.startsWith(ID_FIELD) ? parseId(line) : id;
			hasData = hasData || line.startsWith(DATA_FIELD);
		}
		return new Event(event, id, hasData);
	}

	private static Long parseId(String line) {
		try {
			return Long.valueOf(line.substring(ID_FIELD.length()).strip());
		}
		catch (NumberFormatException ex) {
			return null;
		}
	}

	/**
	 * A complete event.
	 *
	 * @param bytes the bytes, including the empty line at the end
	 * @param id the last id in it, null if there is none or it is not a number
	 * @param hasData whether the event has data
	 */
	record Event(byte[] bytes, Long id, boolean hasData) {

		/**
		 * Returns whether the event has a place in the order of the stream, unlike a
		 * comment that keeps the connection alive.
		 * @return whether it has data or an id
		 */
		boolean hasPosition() {
			return this.hasData || this.id != null;
		}

	}

}
