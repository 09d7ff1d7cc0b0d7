package org.catkingate.bench.fleet;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.sun.management.OperatingSystemMXBean;
import org.HdrHistogram.Histogram;

import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.Digest;
import org.catkingate.runtime.fleet.Fleet;
import org.catkingate.standins.platform.Publication;

/**
 * Measures the time from publication to in force at each process, the reads of the
 * platform, and the bytes and processor time of control. All processes share one Java
 * process, whose processor time, the platform's included, is divided by their number. For
 * use by one thread.
 */
public final class FleetBench {

	private static final int MAX_RECORDED_MICROS = 60_000_000;

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final long PAUSE_MILLIS = 500;

	private final FleetBenchOptions options;

	private final PrintStream output;

	private long revision;

	private FleetBench(FleetBenchOptions options, PrintStream output) {
		this.options = options;
		this.output = output;
	}

	/**
	 * Runs the benchmark and prints one line for each phase and number of processes.
	 * @param options what to measure
	 * @param output where to print
	 * @throws IOException if processes cannot be started
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void run(FleetBenchOptions options, PrintStream output) throws IOException, InterruptedException {
		for (int size : options.processes) {
			new FleetBench(options, output).measure(size);
		}
	}

	private void measure(int size) throws IOException, InterruptedException {
		try (ControlFleet fleet = new ControlFleet(size)) {
			Histogram start = newHistogram();
			publish(fleet, true, start);
			TimeUnit.SECONDS.sleep(this.options.idleSeconds);
			Usage before = Usage.of(fleet);
			TimeUnit.SECONDS.sleep(this.options.idleSeconds);
			print(size, "idle", null, Usage.of(fleet).since(before), size);
			measurePublications(fleet, size, "service up", true);
			measurePublications(fleet, size, "stale for all but one", false);
		}
	}

	private void measurePublications(ControlFleet fleet, int size, String phase, boolean everywhere)
			throws InterruptedException {
		Histogram times = newHistogram();
		Usage before = Usage.of(fleet);
		for (int i = 0; i < this.options.publications; i++) {
			publish(fleet, everywhere, times);
			TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
		}
		print(size, phase, times, Usage.of(fleet).since(before), size);
	}

	private static Histogram newHistogram() {
		return new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
	}

	private void publish(ControlFleet fleet, boolean everywhere, Histogram times) throws InterruptedException {
		this.revision++;
		long expected = this.revision;
		Publication publication = Publication.of(expected, List.of(accountsText("fixed", this.options.accounts, 0),
				accountsText("changing", this.options.changingAccounts, expected)));
		CountDownLatch latch = new CountDownLatch(fleet.processes().size());
		long from = System.nanoTime();
		for (Fleet process : fleet.processes()) {
			CountDownLatch once = new CountDownLatch(1);
			process.onSnapshotChange((snapshot) -> runOnceInForce(snapshot, expected, once, () -> {
				recordElapsed(times, from);
				latch.countDown();
			}));
		}
		fleet.firstPlatform().publish(publication);
		if (everywhere) {
			fleet.sharedPlatform().publish(publication);
		}
		if (!latch.await(this.options.timeoutSeconds, TimeUnit.SECONDS)) {
			this.output.println("revision " + expected + " is not in force at " + latch.getCount() + " processes after "
					+ this.options.timeoutSeconds + " s");
		}
	}

	private static void runOnceInForce(FleetSnapshot snapshot, long expected, CountDownLatch once, Runnable task) {
		if (once.getCount() > 0 && snapshot.configuration().version().revision() >= expected) {
			once.countDown();
			task.run();
		}
	}

	private static void recordElapsed(Histogram times, long from) {
		synchronized (times) {
			times.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - from));
		}
	}

	private static String accountsText(String kind, int count, long change) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < count; i++) {
			text.append("[account ").append(kind).append('-').append(i).append("]\nkey-sha256 = ");
			text.append(Digest.of((kind + i).getBytes(StandardCharsets.UTF_8)));
			text.append("\nlabels = kind=bar & size=large\nrequests-per-s = ").append(50 + change);
			text.append("\nconcurrent-requests = 40\ntokens-per-s = 9000\npriority = 5\n\n");
		}
		return text.toString();
	}

	private void print(int size, String phase, Histogram times, Usage usage, int processes) {
		double seconds = usage.nanos() / (double) TimeUnit.SECONDS.toNanos(1);
		StringBuilder line = new StringBuilder();
		line.append(String.format(Locale.ROOT, "%3d processes, %-22s", size, phase));
		if (times != null) {
			line.append(String.format(Locale.ROOT, " in force p50 %7.1f ms, max %7.1f ms;",
					times.getValueAtPercentile(50) / 1e3, times.getMaxValue() / 1e3));
		}
		line.append(String.format(Locale.ROOT,
				" calls %6.2f/s; peers %8.1f B/s sent per process; platform %8.1f B/s per process; processor %5.2f%% of a core per process",
				usage.calls() / seconds, usage.sentBytes() / seconds / processes,
				usage.platformBytes() / seconds / processes,
				usage.processorNanos() * 100.0 / usage.nanos() / processes));
		if (times != null) {
			double each = (double) this.options.publications * processes;
			line.append(String.format(Locale.ROOT,
					"; for each publication and process %.0f B to peers, %.0f B of the platform",
					usage.sentBytes() / each, usage.platformBytes() / each));
		}
		this.output.println(line);
	}

	/**
	 * Counters at one moment, or their growth. Immutable.
	 *
	 * @param nanos the time, in nanoseconds
	 * @param processorNanos processor time, in nanoseconds
	 * @param calls calls of the platform
	 * @param sentBytes bytes sent between processes
	 * @param platformBytes bytes of values that the platform has sent
	 */
	private record Usage(long nanos, long processorNanos, long calls, long sentBytes, long platformBytes) {

		private static Usage of(ControlFleet fleet) {
			OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
			return new Usage(System.nanoTime(), system.getProcessCpuTime(), fleet.platformCalls(), fleet.sentBytes(),
					fleet.platformBytes());
		}

		private Usage since(Usage before) {
			return new Usage(this.nanos - before.nanos, this.processorNanos - before.processorNanos,
					this.calls - before.calls, this.sentBytes - before.sentBytes,
					this.platformBytes - before.platformBytes);
		}

	}

}
