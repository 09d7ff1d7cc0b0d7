package org.catkingate.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;

import org.catkingate.bench.fleet.FleetBench;
import org.catkingate.bench.fleet.FleetBenchOptions;
import org.catkingate.bench.keys.KeysBench;
import org.catkingate.bench.keys.KeysBenchOptions;
import org.catkingate.bench.requests.RequestsBench;
import org.catkingate.bench.requests.RequestsBenchOptions;
import org.catkingate.bench.weights.WeightsBench;
import org.catkingate.bench.weights.WeightsBenchOptions;

/**
 * The main class of {@code catkingate-bench BENCHMARK OPTIONS}.
 *
 * @since 0.1
 */
public final class BenchLauncher {

	private static final int EXIT_FAILURE = 1;

	private static final int EXIT_USAGE = 2;

	private BenchLauncher() {
	}

	/**
	 * Runs one benchmark and exits the process.
	 * @param args the name of the benchmark and its options
	 * @throws Exception if the benchmark cannot run
	 */
	public static void main(String[] args) throws Exception {
		WeightsBenchOptions weights = new WeightsBenchOptions();
		RequestsBenchOptions requests = new RequestsBenchOptions();
		FleetBenchOptions fleet = new FleetBenchOptions();
		KeysBenchOptions keys = new KeysBenchOptions();
		JCommander commands = JCommander.newBuilder()
			.programName("catkingate-bench")
			.addCommand("weights", weights)
			.addCommand("requests", requests)
			.addCommand("fleet", fleet)
			.addCommand("keys", keys)
			.build();
		String name = parse(commands, args);
		switch (name) {
			case "weights" -> System.exit(WeightsBench.run(weights, System.out) ? 0 : EXIT_FAILURE);
			case "requests" -> RequestsBench.run(requests, System.out);
			case "fleet" -> FleetBench.run(fleet, System.out);
			default -> KeysBench.run(keys, System.out);
		}
		System.exit(0);
	}

	private static String parse(JCommander commands, String... args) {
		try {
			commands.parse(args);
		}
		catch (ParameterException ex) {
			System.err.println("catkingate-bench: " + ex.getMessage());
			System.exit(EXIT_USAGE);
		}
		if (commands.getParsedCommand() == null) {
			commands.usage();
			System.exit(EXIT_USAGE);
		}
		return commands.getParsedCommand();
	}

}
