package org.catkingate.cli;

import com.beust.jcommander.Parameter;

/**
 * One command of the command line. Used by the main thread only.
 */
abstract class Command {

	@Parameter(names = { "--help", "-h" }, help = true, description = "Show the help of this command")
	private boolean help;

	/**
	 * Tells whether only help is wanted.
	 * @return whether {@code --help} was given
	 */
	final boolean isHelpRequested() {
		return this.help;
	}

	/**
	 * Returns a call that works, for the help.
	 * @return the example, never null
	 */
	abstract String example();

	/**
	 * Runs the command.
	 * @return the exit code
	 * @throws CommandException if it fails for a reason that its message explains
	 */
	abstract int run() throws CommandException;

}
