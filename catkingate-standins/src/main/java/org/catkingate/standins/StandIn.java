package org.catkingate.standins;

import java.net.InetSocketAddress;

/**
 * A running stand-in. Safe for use by any thread.
 *
 * @since 0.1
 */
public interface StandIn extends AutoCloseable {

	/**
	 * Returns the address that the stand-in listens on.
	 * @return the bound address, never null
	 */
	InetSocketAddress address();

	/**
	 * Changes options while the stand-in runs, as {@code PUT /control/options} does.
	 * @param arguments options as on the command line, such as {@code --delay-ms 5}
	 * @throws com.beust.jcommander.ParameterException if an option is unknown
	 */
	void configure(String... arguments);

	@Override
	void close();

}
