package org.catkingate.decisions.idempotency;

import java.util.List;

/**
 * A whole answer, kept for repeats of its call. Immutable and safe for use by any thread;
 * the pieces must not be changed.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param pieces the body, in pieces
 * @since 0.1
 */
public record KeptAnswer(int status, List<Header> headers, List<byte[]> pieces) {

	public KeptAnswer {
		headers = List.copyOf(headers);
		pieces = List.copyOf(pieces);
	}

	/**
	 * Sums up the pieces.
	 * @return the size of the body, in bytes
	 */
	public long bodyBytes() {
		return this.pieces.stream().mapToLong((piece) -> piece.length).sum();
	}

	/**
	 * A header of HTTP.
	 *
	 * @param name the name
	 * @param value the value
	 */
	public record Header(String name, String value) {

	}

}
