package org.catkingate.cli;

/**
 * A failure that ends the program with lines that name the remedy.
 */
class CommandException extends Exception {

	private static final long serialVersionUID = 1L;

	private final int exitCode;

	CommandException(int exitCode, String message) {
		super(message);
		this.exitCode = exitCode;
	}

	int exitCode() {
		return this.exitCode;
	}

}
