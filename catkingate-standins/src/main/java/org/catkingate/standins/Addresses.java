package org.catkingate.standins;

import java.net.InetSocketAddress;

import com.beust.jcommander.ParameterException;

/**
 * The written form of addresses, {@code IP:PORT}. Stateless.
 *
 * @since 0.1
 */
public final class Addresses {

	private Addresses() {
	}

	/**
	 * Parses an address.
	 * @param text the written form
	 * @return the address, never null
	 * @throws ParameterException if the text has another form
	 */
	public static InetSocketAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		try {
			return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
		}
		catch (IndexOutOfBoundsException | IllegalArgumentException ex) {
			throw new ParameterException("address '" + text + "' is not understood; write IP:PORT");
		}
	}

	/**
	 * Writes an address.
	 * @param address the address
	 * @return its written form, never null
	 */
	public static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

}
