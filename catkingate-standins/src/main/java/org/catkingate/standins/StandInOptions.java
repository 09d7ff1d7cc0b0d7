package org.catkingate.standins;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;

/**
 * Options common to all stand-ins. Fields are volatile because they may change while I/O
 * threads read them.
 *
 * @since 0.1
 */
public class StandInOptions {

	@Parameter(names = "--listen", description = "IP:PORT to listen on; port 0 selects a free port")
	private volatile String listen = "127.0.0.1:0";

	@Parameter(names = "--io-threads", description = "number of I/O threads")
	private volatile int ioThreads = 1;

	/**
	 * Creates options from command-line arguments.
	 * @param <T> the type of options
	 * @param optionsFactory creates the options with their default values
	 * @param arguments the arguments
	 * @return the options, never null
	 */
	public static <T extends StandInOptions> T parse(Supplier<T> optionsFactory, String... arguments) {
		T options = optionsFactory.get();
		options.update(arguments);
		return options;
	}

	/**
	 * Changes the options named in the arguments and keeps all others.
	 * @param arguments the arguments, as on the command line
	 */
	public final void update(String... arguments) {
		JCommander.newBuilder().addObject(this).allowParameterOverwriting(true).build().parse(arguments);
	}

	/**
	 * Returns the address to listen on.
	 * @return the address, never null
	 */
	public final InetSocketAddress listenAddress() {
		return Addresses.parse(this.listen);
	}

	/**
	 * Returns the number of I/O threads.
	 * @return the number, at least 1
	 */
	public final int ioThreads() {
		return Math.max(1, this.ioThreads);
	}

}
