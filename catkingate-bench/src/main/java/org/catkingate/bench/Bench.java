package org.catkingate.bench;

import com.beust.jcommander.JCommander;

import org.catkingate.bench.keys.KeysBench;
import org.catkingate.bench.keys.KeysBenchOptions;
import org.catkingate.bench.requests.RequestsBench;
import org.catkingate.bench.requests.RequestsBenchOptions;
import org.catkingate.bench.weights.WeightsBench;
import org.catkingate.bench.weights.WeightsBenchOptions;

/**
 * Entry point.
 */
public final class Bench {

	private Bench() {
	}

	/**
	 * Runs the program.
	 * @param args the arguments
	 * @throws Exception if a benchmark cannot run
	 */
	public static void main(String[] args) throws Exception {
		WeightsBenchOptions weights = new WeightsBenchOptions();
		RequestsBenchOptions requests = new RequestsBenchOptions();
		KeysBenchOptions keys = new KeysBenchOptions();
		JCommander commands = JCommander.newBuilder()
			.programName("catkingate-bench")
			.addCommand("weights", weights)
			.addCommand("requests", requests)
			.addCommand("keys", keys)
			.build();
		commands.parse(args);
		if ("weights".equals(commands.getParsedCommand())) {
			System.exit(WeightsBench.run(weights, System.out) ? 0 : 1);
		}
		if ("requests".equals(commands.getParsedCommand())) {
			RequestsBench.run(requests, System.out);
			System.exit(0);
		}
		if ("keys".equals(commands.getParsedCommand())) {
			KeysBench.run(keys, System.out);
			System.exit(0);
		}
		commands.usage();
		System.exit(2);
	}

}
