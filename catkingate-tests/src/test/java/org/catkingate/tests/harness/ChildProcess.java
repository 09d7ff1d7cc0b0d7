package org.catkingate.tests.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.awaitility.Awaitility;

/**
 * A process that was started by a test and is signalled by its process id. Its output
 * goes to files. Every wait is bounded.
 */
public final class ChildProcess implements AutoCloseable {

	/** Upper bound for waits whose duration is not what a test checks. */
	public static final Duration TIMEOUT = Duration.ofSeconds(60);

	private final Process process;

	private final Path output;

	private final Path errors;

	private ChildProcess(Process process, Path output, Path errors) {
		this.process = process;
		this.output = output;
		this.errors = errors;
	}

	public static ChildProcess start(Path directory, String name, List<String> command) {
		return start(directory, name, command, Map.of());
	}

	/**
	 * Starts a process.
	 * @param directory the directory for its output
	 * @param name the name of the files of its output
	 * @param command the command line
	 * @param environment environment variables that replace or follow those of this
	 * process
	 * @return the process, never null
	 */
	public static ChildProcess start(Path directory, String name, List<String> command,
			Map<String, String> environment) {
		Path output = directory.resolve(name + ".out");
		Path errors = directory.resolve(name + ".err");
		try {
			ProcessBuilder builder = new ProcessBuilder(command).redirectOutput(appendTo(output))
				.redirectError(appendTo(errors));
			builder.environment().putAll(environment);
			return new ChildProcess(builder.start(), output, errors);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static ProcessBuilder.Redirect appendTo(Path file) {
		return ProcessBuilder.Redirect.appendTo(file.toFile());
	}

	/**
	 * Returns the command line of an executable that the build created in {@code target}.
	 */
	public static List<String> commandLine(String name, String... arguments) {
		Path root = Path.of(System.getProperty("catkingate.root"));
		return Stream.concat(Stream.of(root.resolve("target").resolve(name).toString()), Stream.of(arguments)).toList();
	}

	public Matcher awaitLine(Pattern pattern) {
		return Awaitility.await(pattern + " in " + this.output)
			.atMost(TIMEOUT)
			.until(() -> find(pattern), Optional::isPresent)
			.orElseThrow();
	}

	private Optional<Matcher> find(Pattern pattern) {
		Matcher matcher = pattern.matcher(output());
		if (matcher.find()) {
			return Optional.of(matcher);
		}
		if (!this.process.isAlive()) {
			throw new IllegalStateException(
					"process ended with exit code " + this.process.exitValue() + ": " + output() + errors());
		}
		return Optional.empty();
	}

	public String output() {
		return read(this.output);
	}

	public String errors() {
		return read(this.errors);
	}

	private static String read(Path file) {
		try {
			return Files.readString(file, StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Suspends all threads of the process, as a pause of the machine would.
	 */
	public void freeze() {
		signal("STOP");
	}

	/**
	 * Resumes the process after {@link #freeze()}.
	 */
	public void thaw() {
		signal("CONT");
	}

	/**
	 * Requests a graceful shutdown of the process.
	 */
	public void terminate() {
		signal("TERM");
	}

	/**
	 * Requests the process to read its settings again.
	 */
	public void hangUp() {
		signal("HUP");
	}

	/**
	 * Kills the process and waits for its end.
	 */
	public void kill() {
		this.process.destroyForcibly();
		awaitExit(TIMEOUT);
	}

	public int awaitExit(Duration limit) {
		try {
			if (!this.process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS)) {
				throw new IllegalStateException("process " + this.process.pid() + " did not end within " + limit);
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Runs a diagnostic command of the Java virtual machine in the process.
	 * @param command the command
	 * @return its output
	 * @throws IOException if the tool of the JDK cannot be started
	 */
	public String command(String command) throws IOException {
		String tool = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
		Process jcmd = new ProcessBuilder(tool, Long.toString(this.process.pid()), command).redirectErrorStream(true)
			.start();
		return new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
	}

	private void signal(String name) {
		try {
			Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start();
			if (kill.waitFor() != 0) {
				throw new IllegalStateException("process " + this.process.pid() + " could not be sent signal " + name);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public void close() {
		kill();
	}

}
