package org.catkingate.cli;

import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

/**
 * The command line: parses the arguments and runs the command that they name. Used by the
 * main thread only.
 */
final class CommandLine {

	private static final String PROGRAM = "catkingate";

	private final PrintStream out;

	private final PrintStream err;

	private final Map<String, Command> commands = new TreeMap<>();

	private CommandLine(PrintStream out, PrintStream err) {
		this.out = out;
		this.err = err;
	}

	static CommandLine withAllCommands(PrintStream out, PrintStream err) {
		CommandLine commandLine = new CommandLine(out, err);
		commandLine.commands.put("agent", new AgentCommand());
		commandLine.commands.put("entry", new EntryCommand());
		commandLine.commands.put("gateway", new GatewayCommand());
		commandLine.commands.put("loader", new LoaderCommand());
		commandLine.commands.put("check", new CheckCommand(out));
		commandLine.commands.put("dump", new DumpCommand(out));
		commandLine.commands.put("version", new VersionCommand(out));
		return commandLine;
	}

	int run(String... args) {
		GlobalOptions options = new GlobalOptions();
		JCommander parser = parser(options);
		try {
			parser.parse(args);
		}
		catch (ParameterException ex) {
			return printUsageError(ex.getMessage());
		}
		String name = parser.getParsedCommand();
		if (options.help) {
			return printUsage(parser);
		}
		if (name == null) {
			return printUsageError("no command given");
		}
		return run(parser, name);
	}

	private int run(JCommander parser, String name) {
		Command command = this.commands.get(name);
		if (command.isHelpRequested()) {
			return printUsage(parser, name, command);
		}
		try {
			return command.run();
		}
		catch (CommandException ex) {
			this.err.println(ex.getMessage());
			return ex.exitCode();
		}
	}

	private int printUsage(JCommander parser) {
		StringBuilder text = new StringBuilder();
		parser.getUsageFormatter().usage(text);
		this.out.print(text);
		return ExitCodes.SUCCESS;
	}

	private int printUsage(JCommander parser, String name, Command command) {
		StringBuilder text = new StringBuilder();
		parser.getUsageFormatter().usage(name, text);
		this.out.print(text);
		this.out.println("Example: " + command.example());
		return ExitCodes.SUCCESS;
	}

	private int printUsageError(String message) {
		this.err.println(PROGRAM + ": " + firstLine(message) + "; run '" + PROGRAM + " --help'");
		return ExitCodes.USAGE;
	}

	private static String firstLine(String message) {
		return message.lines().findFirst().orElse("invalid arguments");
	}

	private JCommander parser(GlobalOptions options) {
		JCommander parser = JCommander.newBuilder().programName(PROGRAM).addObject(options).build();
		this.commands.forEach(parser::addCommand);
		return parser;
	}

	/**
	 * The options before the command.
	 */
	private static final class GlobalOptions {

		@Parameter(names = { "--help", "-h" }, help = true, description = "Show this help")
		private boolean help;

	}

}
