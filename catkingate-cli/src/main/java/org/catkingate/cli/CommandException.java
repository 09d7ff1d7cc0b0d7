package org.catkingate.cli;

/**
 * Thrown when a command fails. The program prints the message, which names the remedy,
 * and ends with the exit code.
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
