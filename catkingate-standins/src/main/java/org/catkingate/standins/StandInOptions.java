package org.catkingate.standins;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;

/**
 * Options that every stand-in has. Fields are volatile, since they change while traffic
 * threads read them.
 *
 * @since 0.1
 */
public class StandInOptions {

	@Parameter(names = "--listen", description = "IP:PORT to listen on; port 0 takes a free one")
	private volatile String listen = "127.0.0.1:0";

	@Parameter(names = "--io-threads", description = "threads that serve connections")
	private volatile int ioThreads = 1;

	/**
	 * Parses options.
	 * @param <T> the type of options
	 * @param options makes the options with their defaults
	 * @param arguments the arguments
	 * @return the options, never null
	 */
	public static <T extends StandInOptions> T parse(Supplier<T> options, String... arguments) {
		T result = options.get();
		result.update(arguments);
		return result;
	}

	/**
	 * Changes the options that the arguments name and leaves the others.
	 * @param arguments the arguments
	 */
	public final void update(String... arguments) {
		JCommander.newBuilder().addObject(this).allowParameterOverwriting(true).build().parse(arguments);
	}

	/**
	 * Returns the address to bind.
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
