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
 * A benchmark of the control plane. It measures the time from the publication of a
 * configuration until it is in force in each process, the calls to the platform, and the
 * bytes and CPU time used. All processes run in one Java process, whose CPU time,
 * including that of the platform, is divided by their number. Not thread-safe.
 */
public final class FleetBench {

	private static final int MAX_RECORDED_MICROS = 60_000_000;

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final long PAUSE_BETWEEN_PUBLICATIONS_MILLIS = 500;

	private final FleetBenchOptions options;

	private final PrintStream output;

	private long revision;

	private FleetBench(FleetBenchOptions options, PrintStream output) {
		this.options = options;
		this.output = output;
	}

	/**
	 * Runs the benchmark and prints one line for each phase and number of processes.
	 * @param options the options
	 * @param output receives the results
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
			Histogram initialTimes = newHistogram();
			publishAndAwait(fleet, true, initialTimes);
			TimeUnit.SECONDS.sleep(this.options.idleSeconds);
			Usage before = Usage.of(fleet);
			TimeUnit.SECONDS.sleep(this.options.idleSeconds);
			print(size, "idle", null, Usage.of(fleet).since(before), size);
			measurePublications(fleet, size, "service up", true);
			measurePublications(fleet, size, "stale for all but one", false);
		}
	}

	private void measurePublications(ControlFleet fleet, int size, String phase, boolean onBothPlatforms)
			throws InterruptedException {
		Histogram times = newHistogram();
		Usage before = Usage.of(fleet);
		for (int i = 0; i < this.options.publications; i++) {
			publishAndAwait(fleet, onBothPlatforms, times);
			TimeUnit.MILLISECONDS.sleep(PAUSE_BETWEEN_PUBLICATIONS_MILLIS);
		}
		print(size, phase, times, Usage.of(fleet).since(before), size);
	}

	private static Histogram newHistogram() {
		return new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
	}

	private void publishAndAwait(ControlFleet fleet, boolean onBothPlatforms, Histogram times)
			throws InterruptedException {
		this.revision++;
		long expectedRevision = this.revision;
		Publication publication = Publication.of(expectedRevision,
				List.of(accountsText("fixed", this.options.accounts, 0),
						accountsText("changing", this.options.changingAccounts, expectedRevision)));
		CountDownLatch pending = new CountDownLatch(fleet.processes().size());
		long startNanos = System.nanoTime();
		for (Fleet process : fleet.processes()) {
			CountDownLatch firstArrival = new CountDownLatch(1);
			process.addSnapshotListener((snapshot) -> runOnceInForce(snapshot, expectedRevision, firstArrival, () -> {
				recordElapsed(times, startNanos);
				pending.countDown();
			}));
		}
		fleet.firstPlatform().publish(publication);
		if (onBothPlatforms) {
			fleet.sharedPlatform().publish(publication);
		}
		if (!pending.await(this.options.timeoutSeconds, TimeUnit.SECONDS)) {
			this.output.println("revision " + expectedRevision + " is not in force at " + pending.getCount()
					+ " processes after " + this.options.timeoutSeconds + " s");
		}
	}

	private static void runOnceInForce(FleetSnapshot snapshot, long expectedRevision, CountDownLatch firstArrival,
			Runnable task) {
		if (firstArrival.getCount() > 0 && snapshot.configuration().version().revision() >= expectedRevision) {
			firstArrival.countDown();
			task.run();
		}
	}

	private static void recordElapsed(Histogram times, long startNanos) {
		synchronized (times) {
			times.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
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
				usage.platformBytes() / seconds / processes, usage.cpuNanos() * 100.0 / usage.nanos() / processes));
		if (times != null) {
			double deliveries = (double) this.options.publications * processes;
			line.append(String.format(Locale.ROOT,
					"; for each publication and process %.0f B to peers, %.0f B of the platform",
					usage.sentBytes() / deliveries, usage.platformBytes() / deliveries));
		}
		this.output.println(line);
	}

	/**
	 * Resource usage at one time, or the difference between two times. Immutable.
	 *
	 * @param nanos the monotonic time, in nanoseconds
	 * @param cpuNanos the CPU time, in nanoseconds
	 * @param calls the number of calls to the platform
	 * @param sentBytes the bytes sent between processes
	 * @param platformBytes the bytes of values sent by the platform
	 */
	private record Usage(long nanos, long cpuNanos, long calls, long sentBytes, long platformBytes) {

		private static Usage of(ControlFleet fleet) {
			OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
			return new Usage(System.nanoTime(), system.getProcessCpuTime(), fleet.platformCalls(), fleet.sentBytes(),
					fleet.platformBytes());
		}

		private Usage since(Usage before) {
			return new Usage(this.nanos - before.nanos, this.cpuNanos - before.cpuNanos, this.calls - before.calls,
					this.sentBytes - before.sentBytes, this.platformBytes - before.platformBytes);
		}

	}

}
