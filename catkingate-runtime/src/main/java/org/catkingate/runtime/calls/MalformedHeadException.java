package org.catkingate.runtime.calls;

/**
 * The head of a request cannot be understood. Its message names the remedy.
 *
 * @since 0.1
 */
public class MalformedHeadException extends Exception {

	private static final long serialVersionUID = 1L;

	public MalformedHeadException(String message) {
		super(message);
	}

}
