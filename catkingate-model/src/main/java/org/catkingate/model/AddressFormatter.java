package org.catkingate.model;

import java.net.InetSocketAddress;

/**
 * A formatter of addresses for URLs, messages and logs. Stateless and safe for use by any
 * thread.
 *
 * @since 0.1
 */
public final class AddressFormatter {

	private AddressFormatter() {
	}

	/**
	 * Formats an address.
	 * @param address the address, resolved
	 * @return the address as IP:PORT
	 */
	public static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	/**
	 * Formats the URL of a server.
	 * @param address its address, resolved
	 * @return the URL without a path
	 */
	public static String formatUrl(InetSocketAddress address) {
		return "http://" + format(address);
	}

}
