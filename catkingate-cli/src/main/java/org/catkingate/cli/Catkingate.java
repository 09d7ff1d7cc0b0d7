package org.catkingate.cli;

import org.slf4j.event.Level;

import org.catkingate.runtime.logging.Logging;

/**
 * The entry point of the executable file.
 *
 * @since 0.1
 */
public final class Catkingate {

	private Catkingate() {
	}

	/**
	 * Runs one command and ends the process with its exit code.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		Logging.toStandardOutput(Level.WARN);
		System.exit(CommandLine.withAllCommands(System.out, System.err).run(args));
	}

}
