package org.catkingate.runtime.calls;

/**
 * Signals that a header of a request cannot be parsed. The message names the remedy.
 *
 * @since 0.1
 */
public class MalformedHeadException extends Exception {

	private static final long serialVersionUID = 1L;

	public MalformedHeadException(String message) {
		super(message);
	}

}
