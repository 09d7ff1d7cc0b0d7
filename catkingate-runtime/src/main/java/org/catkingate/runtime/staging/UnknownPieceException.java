package org.catkingate.runtime.staging;

import java.io.IOException;

/**
 * Another process knows no version with a piece. It knows it once it has been asked for
 * the version's digests.
 */
final class UnknownPieceException extends IOException {

	private static final long serialVersionUID = 1L;

	UnknownPieceException(String message) {
		super(message);
	}

}
