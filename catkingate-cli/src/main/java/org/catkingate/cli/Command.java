package org.catkingate.cli;

import com.beust.jcommander.Parameter;

/**
 * A command of the command line. Used by the main thread only.
 */
abstract class Command {

	@Parameter(names = { "--help", "-h" }, help = true, description = "Show the help of this command")
	private boolean help;

	/**
	 * Returns whether the help of the command is requested.
	 * @return whether {@code --help} was given
	 */
	final boolean isHelpRequested() {
		return this.help;
	}

	/**
	 * Returns a valid command line, which the help shows as an example.
	 * @return the example, never null
	 */
	abstract String example();

	/**
	 * Runs the command.
	 * @return the exit code
	 * @throws CommandException if the command fails; its message names the cause
	 */
	abstract int run() throws CommandException;

}
