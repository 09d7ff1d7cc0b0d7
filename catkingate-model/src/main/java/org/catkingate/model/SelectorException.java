package org.catkingate.model;

/**
 * Thrown if a selector cannot be parsed. The message describes the expected form.
 *
 * @since 0.1
 */
public class SelectorException extends Exception {

	private static final long serialVersionUID = 1L;

	public SelectorException(String term) {
		super("selector term '" + term + "' is malformed; write label=value, label!=value or label=a|b,"
				+ " with & between terms, or * for everything");
	}

}
