package org.catkingate.cli;

import java.io.PrintStream;

import com.beust.jcommander.Parameters;

/**
 * The command that prints the version of the program.
 */
@Parameters(commandDescription = "Print the version")
final class VersionCommand extends Command {

	private final PrintStream out;

	VersionCommand(PrintStream out) {
		this.out = out;
	}

	@Override
	String example() {
		return "catkingate version";
	}

	@Override
	int run() {
		String version = VersionCommand.class.getPackage().getImplementationVersion();
		this.out.println("catkingate " + ((version != null) ? version : "development"));
		return ExitCodes.SUCCESS;
	}

}
