package org.catkingate.entry;

/**
 * Thrown when a request is rejected before it is sent to a runner. Its message names the
 * remedy.
 */
final class RequestRejectedException extends Exception {

	private static final long serialVersionUID = 1L;

	/** The failure to report to the caller. */
	private final transient Failure failure;

	RequestRejectedException(Failure failure) {
		super(failure.message(), null, false, false);
		this.failure = failure;
	}

	Failure failure() {
		return this.failure;
	}

}
