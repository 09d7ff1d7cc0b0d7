package org.catkingate.bench.weights;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Locale;

import org.catkingate.decisions.distribution.Preference;
import org.catkingate.standins.weights.GeneratedWeights;

/**
 * Measures bursts of several sizes and prints a table. Used by one thread.
 *
 * @since 0.1
 */
public final class WeightsBench {

	/** The agents of a first burst, not reported, that lets the code be compiled. */
	private static final int WARM_UP_AGENTS = 8;

	private static final long SEED = 20261203;

	private final WeightsBenchOptions options;

	private final PrintStream out;

	private WeightsBench(WeightsBenchOptions options, PrintStream out) {
		this.options = options;
		this.out = out;
	}

	/**
	 * Runs the benchmark.
	 * @param options its options
	 * @param out where the table goes
	 * @return whether every burst came to its end
	 * @throws IOException if no connections can be made
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static boolean run(WeightsBenchOptions options, PrintStream out) throws IOException, InterruptedException {
		return new WeightsBench(options, out).run();
	}

	private boolean run() throws IOException, InterruptedException {
		GeneratedWeights weights = GeneratedWeights
			.of(GeneratedWeights.Shape.of("bench", "1", SEED, this.options.bytes(), this.options.chunkBytes()));
		this.out.printf(Locale.ROOT, "seed %d, %d MB in chunks of %d KB, agent link %.1f MB/s, origin link %.1f MB/s%n",
				SEED, this.options.megabytes, this.options.chunkKilobytes, this.options.linkMegabytesPerSecond,
				this.options.linkMegabytesPerSecond * this.options.originLinks);
		this.out.println("mode          agents whole seconds over-ideal origin-copies busiest-link-copies "
				+ "processor-s/agent control-KB/agent");
		new FetchBurst(this.options, weights).run(WARM_UP_AGENTS, Preference.TIME, true);
		boolean all = true;
		for (int agents : this.options.agents) {
			all &= report(weights, "time", agents, Preference.TIME, true);
			all &= report(weights, "origin-bytes", agents, Preference.ORIGIN_BYTES, true);
			if (this.options.baseline) {
				all &= report(weights, "baseline", agents, Preference.TIME, false);
			}
		}
		return all;
	}

	private boolean report(GeneratedWeights weights, String mode, int agents, Preference preference, boolean shared)
			throws IOException, InterruptedException {
		FetchBurst.Result result = new FetchBurst(this.options, weights).run(agents, preference, shared);
		this.out.printf(Locale.ROOT, "%-13s %6d %5d %7.1f %10.2f %13.2f %19.2f %17.2f %16.1f%n", mode, agents,
				result.completeAgents(), result.seconds(), result.timesIdeal(), result.originCopies(),
				result.busiestLinkCopies(), result.processorSecondsPerAgent(), result.controlBytesPerAgent() / 1024);
		return result.completeAgents() == agents - this.options.lostAgents;
	}

}
