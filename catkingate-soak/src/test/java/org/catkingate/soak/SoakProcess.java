package org.catkingate.soak;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.catkingate.standins.Addresses;
import org.catkingate.tests.harness.ChildProcess;

/**
 * A gateway or loader in a process of its own, with the command line of the deploy file.
 * Each signal goes to the process that this object started last. Safe for use by any
 * thread; a shutdown delays later calls until the process has ended.
 */
final class SoakProcess implements AutoCloseable {

	private static final Duration SHUTDOWN_LIMIT = Duration.ofSeconds(8);

	/** The time until the end of a process that is gone is known. */
	private static final Duration GONE_LIMIT = Duration.ofSeconds(1);

	private static final int PROBE_TIMEOUT_MILLIS = 2000;

	private static final int GENERATIONS = 2;

	private static final long BYTES_PER_KB = 1024;

	private final Path directory;

	private final String role;

	private final String name;

	private final InetSocketAddress address;

	private final InetSocketAddress operators;

	private final Map<String, String> environment;

	private ChildProcess process;

	private volatile int boots;

	private boolean suspended;

	SoakProcess(Path directory, String role, String name, InetSocketAddress address, InetSocketAddress operators,
			Map<String, String> environment) {
		this.environment = environment;
		this.directory = directory;
		this.role = role;
		this.name = name;
		this.address = address;
		this.operators = operators;
	}

	/**
	 * Returns the address for callers.
	 */
	InetSocketAddress address() {
		return this.address;
	}

	/**
	 * Returns the name of the current boot.
	 */
	String boot() {
		return this.name + "#" + this.boots;
	}

	void writeSettings(String settings) throws IOException {
		Files.writeString(settingsFile(), settings);
	}

	private Path settingsFile() {
		return this.directory.resolve(this.name + ".ini");
	}

	synchronized void start() throws IOException {
		this.boots++;
		this.suspended = false;
		this.process = ChildProcess.start(this.directory, this.name, commandLine(), this.environment);
	}

	private List<String> commandLine() throws IOException {
		Path root = Path.of(System.getProperty("catkingate.root"));
		Matcher matcher = Pattern.compile("run = \"(java [^\"]* " + this.role + ")\"")
			.matcher(Files.readString(root.resolve("deploy").resolve("system.toml")));
		if (!matcher.find()) {
			throw new IllegalStateException("the deploy file runs no " + this.role);
		}
		String command = matcher.group(1).replace("target/", root.resolve("target") + "/") + " " + settingsFile();
		return Arrays.asList(command.split(" "));
	}

	/*
	 * A process that was told to end may be gone just before the signal. Returns whether
	 * it was there.
	 */
	private boolean signal(Consumer<ChildProcess> signal) {
		try {
			signal.accept(this.process);
			return true;
		}
		catch (IllegalStateException ex) {
			this.process.awaitExit(GONE_LIMIT);
			return false;
		}
	}

	/**
	 * Suspends the process.
	 * @return whether it was running
	 */
	synchronized boolean suspend() {
		if (this.suspended || !this.process.isAlive()) {
			return false;
		}
		this.suspended = signal(ChildProcess::freeze);
		return this.suspended;
	}

	synchronized void resume() {
		if (this.suspended && this.process.isAlive()) {
			signal(ChildProcess::thaw);
		}
		this.suspended = false;
	}

	/**
	 * Kills the process and waits for its end.
	 */
	synchronized void kill() {
		this.process.kill();
	}

	synchronized void startUnlessAlive() throws IOException {
		if (!this.process.isAlive()) {
			start();
		}
	}

	/**
	 * Requests a graceful shutdown.
	 * @return the number of the boot that was told to end
	 */
	synchronized int terminate() {
		if (this.process.isAlive()) {
			signal(ChildProcess::terminate);
		}
		return this.boots;
	}

	/**
	 * Signals a process that was told to terminate once more. The next boot gets no
	 * signal, since nothing would start another one.
	 * @param terminatedBoot the number of the boot
	 * @param hangUp whether it is told to read its settings, instead of to terminate
	 */
	synchronized void signalAgain(int terminatedBoot, boolean hangUp) {
		if (this.boots == terminatedBoot && this.process.isAlive()) {
			signal(hangUp ? ChildProcess::hangUp : ChildProcess::terminate);
		}
	}

	/**
	 * Waits for the end of a process that was told to terminate, kills it if it does not
	 * end in time, and starts the next one.
	 */
	synchronized void awaitEndAndStart(int terminatedBoot) throws IOException {
		if (this.boots != terminatedBoot) {
			return;
		}
		resume();
		try {
			this.process.awaitExit(SHUTDOWN_LIMIT);
		}
		catch (IllegalStateException ex) {
			this.process.kill();
		}
		start();
	}

	synchronized void hangUp() {
		if (this.process.isAlive()) {
			signal(ChildProcess::hangUp);
		}
	}

	synchronized boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Measures the heap after a full collection.
	 * @return the number of bytes in use, empty if the process is not running
	 */
	synchronized OptionalLong usedHeapBytes() throws IOException {
		if (!this.process.isAlive()) {
			return OptionalLong.empty();
		}
		this.process.command("GC.run");
		Matcher matcher = Pattern.compile("used ([0-9]+)K").matcher(this.process.command("GC.heap_info"));
		long kilobytes = 0;
		// one line for each generation, and then one for the classes
		for (int generation = 0; generation < GENERATIONS && matcher.find(); generation++) {
			kilobytes += Long.parseLong(matcher.group(1));
		}
		return OptionalLong.of(kilobytes * BYTES_PER_KB);
	}

	boolean isReady() {
		try {
			HttpURLConnection connection = (HttpURLConnection) URI
				.create("http://" + Addresses.format(this.operators) + "/readyz")
				.toURL()
				.openConnection();
			connection.setConnectTimeout(PROBE_TIMEOUT_MILLIS);
			connection.setReadTimeout(PROBE_TIMEOUT_MILLIS);
			try {
				return connection.getResponseCode() == HttpURLConnection.HTTP_OK;
			}
			finally {
				connection.disconnect();
			}
		}
		catch (IOException ex) {
			return false;
		}
	}

	@Override
	public synchronized void close() {
		if (this.process != null) {
			this.process.kill();
		}
	}

}
