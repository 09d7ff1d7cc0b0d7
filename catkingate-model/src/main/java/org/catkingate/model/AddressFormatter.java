package org.catkingate.model;

import java.net.InetSocketAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A formatter and parser of addresses for URLs, messages and logs. Stateless and safe for
 * use by any thread.
 *
 * @since 0.1
 */
public final class AddressFormatter {

	private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";

	/**
	 * An IPv4 address in its full form, or an IPv6 address in brackets. The Java library
	 * would look up a text of another form as the name of a host.
	 */
	private static final Pattern ADDRESS = Pattern
		.compile("(" + OCTET + "(?:\\." + OCTET + "){3}|\\[[0-9a-fA-F:]+\\]):([0-9]{1,5})");

	private static final int MAX_PORT = 65535;

	private AddressFormatter() {
	}

	/**
	 * Parses an address.
	 * @param text the address as IP:PORT
	 * @return the address, resolved
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static InetSocketAddress parse(String text) {
		Matcher matcher = ADDRESS.matcher(text);
		if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
			throw invalid();
		}
		InetSocketAddress address = new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
		if (address.isUnresolved()) {
			throw invalid();
		}
		return address;
	}

	private static IllegalArgumentException invalid() {
		return new IllegalArgumentException("write IP:PORT with a numeric IP address");
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
