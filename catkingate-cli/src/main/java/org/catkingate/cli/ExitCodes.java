package org.catkingate.cli;

/**
 * The exit codes of the program.
 */
final class ExitCodes {

	static final int SUCCESS = 0;

	static final int FAILURE = 1;

	static final int USAGE = 2;

	private ExitCodes() {
	}

}
