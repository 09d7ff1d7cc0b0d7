package org.catkingate.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.Parameter;

import org.catkingate.model.Role;
import org.catkingate.model.ini.ConfigurationProblem;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.runtime.logging.Logging;
import org.catkingate.runtime.process.RunningProcess;
import org.catkingate.runtime.settings.ProcessSettings;
import org.catkingate.runtime.settings.SettingsReader;

/**
 * Runs a process of one role until it is told to end.
 */
abstract class ProcessCommand extends Command {

	private final Role role;

	@Parameter(description = "FILE, the settings of the process", required = true)
	private String file;

	ProcessCommand(Role role) {
		this.role = role;
	}

	@Override
	final String example() {
		return "catkingate " + name() + " examples/" + name() + ".ini";
	}

	private String name() {
		return this.role.name().toLowerCase(Locale.ROOT);
	}

	@Override
	final int run() throws CommandException {
		ProcessSettings settings = read();
		Logging.toStandardOutput(settings.process().logLevel());
		try {
			RunningProcess process = start(settings);
			CountDownLatch stopped = new CountDownLatch(1);
			Runtime.getRuntime().addShutdownHook(new Thread(() -> {
				process.stop();
				stopped.countDown();
				Runtime.getRuntime().halt(ExitCodes.SUCCESS);
			}, "shutdown"));
			stopped.await();
			return ExitCodes.SUCCESS;
		}
		catch (IOException | RuntimeException ex) {
			throw new CommandException(ExitCodes.FAILURE, this.file + ": the " + name() + " cannot start: "
					+ ex.getMessage() + "; check the addresses in the settings");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCodes.FAILURE;
		}
	}

	private ProcessSettings read() throws CommandException {
		try {
			return SettingsReader.read(this.role, Path.of(this.file));
		}
		catch (InvalidConfigurationException ex) {
			StringBuilder lines = new StringBuilder();
			for (ConfigurationProblem problem : ex.problems()) {
				lines.append((lines.length() > 0) ? "\n" : "").append(this.file).append(": ").append(problem);
			}
			throw new CommandException(ExitCodes.FAILURE, lines.toString());
		}
	}

	/**
	 * Starts the process.
	 * @param settings its settings
	 * @return the running process, never null
	 * @throws IOException if an address cannot be used
	 */
	abstract RunningProcess start(ProcessSettings settings) throws IOException;

}
