package org.catkingate.standins;

import java.net.InetSocketAddress;

import com.beust.jcommander.ParameterException;

/**
 * Conversion between socket addresses and their text form {@code IP:PORT}. Stateless.
 *
 * @since 0.1
 */
public final class Addresses {

	private Addresses() {
	}

	/**
	 * Parses an address.
	 * @param text the text form
	 * @return the address, never null
	 * @throws ParameterException if the text does not have the form {@code IP:PORT}
	 */
	public static InetSocketAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		try {
			return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
		}
		catch (IndexOutOfBoundsException | IllegalArgumentException ex) {
			throw new ParameterException("address '" + text + "' is not of the form IP:PORT");
		}
	}

	/**
	 * Formats an address.
	 * @param address the address
	 * @return its text form, never null
	 */
	public static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

}
