package org.catkingate.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.Parameter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.model.ini.ConfigurationProblem;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.platform.PlatformEnvironment;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.logging.Logging;
import org.catkingate.runtime.process.HangUpSignal;
import org.catkingate.runtime.process.RunningProcess;
import org.catkingate.runtime.settings.RoleSettings;

/**
 * A command that runs a process of one role until the process is terminated by a signal.
 *
 * @param <S> the type of the role's settings
 */
abstract class ProcessCommand<S extends RoleSettings> extends Command {

	private static final Logger logger = LoggerFactory.getLogger(ProcessCommand.class);

	/** The time after the limit of the shutdown for closing what is left. */
	private static final long CLOSING_MILLIS = 250;

	/** The minimum time for writing the last lines of the log. */
	private static final long MIN_FLUSH_MILLIS = 250;

	private static final long REPORT_MILLIS = 50;

	private final String name;

	@Parameter(description = "FILE, the settings of the process; if it is missing, the file that "
			+ PlatformEnvironment.SETTINGS_FILE + " names")
	private String file;

	ProcessCommand(String name) {
		this.name = name;
	}

	@Override
	final String example() {
		return "catkingate " + this.name + " examples/" + this.name + ".ini";
	}

	@Override
	final int run() throws CommandException {
		String path = (this.file != null) ? this.file : System.getenv(PlatformEnvironment.SETTINGS_FILE);
		if (path == null) {
			throw new CommandException(ExitCodes.USAGE,
					"catkingate: no settings file given; run 'catkingate " + this.name + " --help'");
		}
		// without a handler the signal ends the process, also while it starts
		HangUpSignal.onSignal(() -> revalidateSettings(path));
		NoMBeanServerBuilder.install();
		S settings = readSettings(path);
		Logging.toStandardOutput(settings.process().logLevel());
		try {
			RunningProcess process = start(settings);
			CountDownLatch stopped = new CountDownLatch(1);
			Runtime.getRuntime().addShutdownHook(new Thread(() -> {
				stop(process, settings.shutdownMillis());
				stopped.countDown();
				Runtime.getRuntime().halt(ExitCodes.SUCCESS);
			}, "shutdown"));
			stopped.await();
			return ExitCodes.SUCCESS;
		}
		catch (IOException | RuntimeException ex) {
			throw new CommandException(ExitCodes.FAILURE, path + ": the " + this.name + " cannot start: "
					+ ex.getMessage() + "; check the addresses in the settings");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCodes.FAILURE;
		}
	}

	/*
	 * The process must end within the grace period of the platform, and its last lines
	 * must be written before, also if stopping it takes too long or fails.
	 */
	private static void stop(RunningProcess process, long limitMillis) {
		MonotonicClock clock = MonotonicClock.system();
		long limitEndMillis = clock.millis() + limitMillis;
		Thread stop = startDaemon(process::stop, "stop");
		join(stop, limitMillis + CLOSING_MILLIS);
		if (stop.isAlive()) {
			logger.atWarn().addKeyValue("event", "stop-overdue").log("stopping takes too long; the process ends now");
		}
		long unwritten = Logging.flush(Math.max(MIN_FLUSH_MILLIS, limitEndMillis - clock.millis()));
		if (unwritten > 0) {
			// standard error may be blocked as well
			join(startDaemon(
					() -> System.err.println("catkingate: " + unwritten
							+ " lines of the log are lost, since the reader of standard output is too slow"),
					"unwritten"), REPORT_MILLIS);
		}
	}

	private static Thread startDaemon(Runnable task, String name) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	private static void join(Thread thread, long maxMillis) {
		try {
			thread.join(maxMillis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void revalidateSettings(String path) {
		try {
			read(Path.of(path));
			logger.atInfo()
				.addKeyValue("event", "settings-read-again")
				.log("the settings file is valid; its changes take effect at the next start");
		}
		catch (InvalidConfigurationException ex) {
			logger.atError()
				.addKeyValue("event", "settings-refused")
				.addKeyValue("problems", ex.problems())
				.log("the settings file is invalid; correct it before the next start");
		}
	}

	private S readSettings(String path) throws CommandException {
		try {
			return read(Path.of(path));
		}
		catch (InvalidConfigurationException ex) {
			StringBuilder lines = new StringBuilder();
			for (ConfigurationProblem problem : ex.problems()) {
				lines.append((lines.length() > 0) ? "\n" : "").append(path).append(": ").append(problem);
			}
			throw new CommandException(ExitCodes.USAGE, lines.toString());
		}
	}

	/**
	 * Reads and validates the settings.
	 * @param path the settings file
	 * @return the settings, never null
	 * @throws InvalidConfigurationException if the settings are invalid; it names every
	 * problem
	 */
	abstract S read(Path path) throws InvalidConfigurationException;

	/**
	 * Starts the process.
	 * @param settings the settings of the process
	 * @return the running process, never null
	 * @throws IOException if an address cannot be used
	 */
	abstract RunningProcess start(S settings) throws IOException;

}
