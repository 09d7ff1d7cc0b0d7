package org.catkingate.runtime.staging;

import java.io.IOException;

/**
 * Signals that another process is alive but does not provide a piece or the digests of a
 * version now, for example since a newer version replaces it.
 *
 * @since 0.1
 */
public class PieceRejectedException extends IOException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message the reason
	 */
	public PieceRejectedException(String message) {
		super(message);
	}

	/**
	 * Returns whether a failure of a request is a rejection by a process that is alive.
	 * @param failure the failure
	 * @return whether it is a rejection
	 */
	public static boolean isCauseOf(Throwable failure) {
		return failure instanceof PieceRejectedException || failure.getCause() instanceof PieceRejectedException;
	}

}
