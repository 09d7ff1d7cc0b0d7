package org.catkingate.entry;

/**
 * A request that is refused before it is sent anywhere. Its message names the remedy.
 */
final class RequestRejectedException extends Exception {

	private static final long serialVersionUID = 1L;

	/** What the caller is told. */
	private final transient Failure failure;

	RequestRejectedException(Failure failure) {
		super(failure.message(), null, false, false);
		this.failure = failure;
	}

	Failure failure() {
		return this.failure;
	}

}
