package org.catkingate.bench.weights;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Locale;

import org.catkingate.decisions.distribution.SourcePreference;
import org.catkingate.standins.weights.GeneratedWeights;

/**
 * A benchmark of the distribution of weights. It measures bursts of fetches by different
 * numbers of agents and prints a table of the results. Not thread-safe.
 *
 * @since 0.1
 */
public final class WeightsBench {

	/** Agents of an unreported first burst that warms up the JIT compiler. */
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
	 * @param options the options
	 * @param out receives the table
	 * @return whether all bursts were completed
	 * @throws IOException if connections cannot be established
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static boolean run(WeightsBenchOptions options, PrintStream out) throws IOException, InterruptedException {
		return new WeightsBench(options, out).run();
	}

	private boolean run() throws IOException, InterruptedException {
		GeneratedWeights weights = GeneratedWeights.of(GeneratedWeights.Specification.of("bench", "1", SEED,
				this.options.versionBytes(), this.options.chunkBytes()));
		this.out.printf(Locale.ROOT, "seed %d, %d MB in chunks of %d KB, agent link %.1f MB/s, origin link %.1f MB/s%n",
				SEED, this.options.megabytes, this.options.chunkKilobytes, this.options.linkMegabytesPerSecond,
				this.options.linkMegabytesPerSecond * this.options.originLinks);
		this.out.println("mode          agents whole seconds over-ideal origin-copies busiest-link-copies "
				+ "processor-s/agent control-KB/agent");
		new FetchBurst(this.options, weights).run(WARM_UP_AGENTS, SourcePreference.TIME, true);
		boolean allComplete = true;
		for (int agents : this.options.agents) {
			allComplete &= measureAndPrint(weights, "time", agents, SourcePreference.TIME, true);
			allComplete &= measureAndPrint(weights, "origin-bytes", agents, SourcePreference.ORIGIN_BYTES, true);
			if (this.options.baseline) {
				allComplete &= measureAndPrint(weights, "baseline", agents, SourcePreference.TIME, false);
			}
		}
		return allComplete;
	}

	private boolean measureAndPrint(GeneratedWeights weights, String mode, int agents, SourcePreference preference,
			boolean peersVisible) throws IOException, InterruptedException {
		FetchBurst.Result result = new FetchBurst(this.options, weights).run(agents, preference, peersVisible);
		this.out.printf(Locale.ROOT, "%-13s %6d %5d %7.1f %10.2f %13.2f %19.2f %17.2f %16.1f%n", mode, agents,
				result.completeAgents(), result.seconds(), result.slowdown(), result.originCopies(),
				result.busiestLinkCopies(), result.cpuSecondsPerAgent(), result.controlBytesPerAgent() / 1024);
		return result.completeAgents() == agents - this.options.lostAgents;
	}

}
