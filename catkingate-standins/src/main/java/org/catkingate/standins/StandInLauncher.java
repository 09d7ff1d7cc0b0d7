package org.catkingate.standins;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;

import com.beust.jcommander.ParameterException;

import org.catkingate.standins.engine.Engine;
import org.catkingate.standins.plain.PlainService;
import org.catkingate.standins.platform.Platform;
import org.catkingate.standins.proxy.FaultInjectingProxy;
import org.catkingate.standins.weights.WeightsServer;

/**
 * The main class of {@code catkingate-standins COMMAND OPTIONS}. A stand-in prints
 * {@code ready ADDRESS} when it accepts connections and runs until the process is
 * terminated; the proxy appends its control address to that line. Stateless.
 */
public final class StandInLauncher {

	private static final int EXIT_USAGE = 2;

	private static final Map<String, Function<String[], StandIn>> COMMANDS = commands();

	private StandInLauncher() {
	}

	private static Map<String, Function<String[], StandIn>> commands() {
		Map<String, Function<String[], StandIn>> commands = new LinkedHashMap<>();
		commands.put("platform", Platform::start);
		commands.put("engine", Engine::start);
		commands.put("plain", PlainService::start);
		commands.put("origin", WeightsServer::start);
		commands.put("store", WeightsServer::start);
		commands.put("proxy", FaultInjectingProxy::start);
		return commands;
	}

	/**
	 * Runs the program.
	 * @param args the command and its options
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] args) throws InterruptedException {
		Function<String[], StandIn> command = (args.length > 0) ? COMMANDS.get(args[0]) : null;
		if (command == null) {
			exitWithUsageError("give one of the commands " + String.join(", ", COMMANDS.keySet()));
		}
		try {
			printReady(command.apply(Arrays.copyOfRange(args, 1, args.length)), System.out);
		}
		catch (ParameterException ex) {
			exitWithUsageError(ex.getMessage());
		}
		Thread.currentThread().join();
	}

	private static void printReady(StandIn standIn, PrintStream out) {
		String control = (standIn instanceof FaultInjectingProxy proxy) ? " " + Addresses.format(proxy.controlAddress())
				: "";
		out.println("ready " + Addresses.format(standIn.address()) + control);
	}

	private static void exitWithUsageError(String message) {
		System.err.println("catkingate-standins: " + message);
		System.exit(EXIT_USAGE);
	}

}
