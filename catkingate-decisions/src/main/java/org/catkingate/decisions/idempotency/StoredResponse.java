package org.catkingate.decisions.idempotency;

import java.util.List;

/**
 * A complete response, stored for repeats of its call. Immutable and safe for use by any
 * thread; the pieces must not be modified.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param pieces the body, in pieces
 * @since 0.1
 */
public record StoredResponse(int status, List<Header> headers, List<byte[]> pieces) {

	public StoredResponse {
		headers = List.copyOf(headers);
		pieces = List.copyOf(pieces);
	}

	/**
	 * Returns the size of the body.
	 * @return the total size of the pieces, in bytes
	 */
	public long bodyBytes() {
		return this.pieces.stream().mapToLong((piece) -> piece.length).sum();
	}

	/**
	 * An HTTP header.
	 *
	 * @param name the name
	 * @param value the value
	 */
	public record Header(String name, String value) {

	}

}
