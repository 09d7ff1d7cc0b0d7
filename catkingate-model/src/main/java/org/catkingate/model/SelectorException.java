package org.catkingate.model;

/**
 * A selector that cannot be parsed. Its message names the remedy.
 *
 * @since 0.1
 */
public class SelectorException extends Exception {

	private static final long serialVersionUID = 1L;

	public SelectorException(String term) {
		super("selector term '" + term + "' is not understood; write label=value, label!=value or label=a|b,"
				+ " with & between terms, or * for everything");
	}

}
