package org.catkingate.runtime.staging;

/**
 * Signals that another process has no version with the requested piece. It obtains the
 * version when the digests of that version are requested from it.
 */
final class UnknownPieceException extends PieceRejectedException {

	private static final long serialVersionUID = 1L;

	UnknownPieceException(String message) {
		super(message);
	}

}
