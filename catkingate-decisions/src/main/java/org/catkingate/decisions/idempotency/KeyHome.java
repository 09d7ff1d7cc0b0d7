package org.catkingate.decisions.idempotency;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.Objects;

import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;

/**
 * An agent that may be the home of keys. A replacement that has taken over a name at
 * another address is another home; a restart at the same address is the same one, which
 * cannot run twice at once. Immutable and safe for use by any thread.
 *
 * @param instance the instance
 * @param host the IP number at which it listens for peers
 * @param port the port of that address
 * @since 0.1
 */
public record KeyHome(InstanceId instance, String host, int port) implements Comparable<KeyHome> {

	private static final Comparator<KeyHome> ORDER = Comparator.comparing(KeyHome::text);

	public KeyHome {
		Objects.requireNonNull(instance, "instance must not be null");
		Objects.requireNonNull(host, "host must not be null");
	}

	/**
	 * Takes the home out of a line of the platform's list.
	 * @param instance the line
	 * @return the home, never null
	 */
	public static KeyHome of(InstanceRecord instance) {
		return of(instance.id(), instance.address());
	}

	/**
	 * Makes a home.
	 * @param instance the instance
	 * @param address where it listens for peers, as the platform's list has it
	 * @return the home, never null
	 */
	public static KeyHome of(InstanceId instance, InetSocketAddress address) {
		String host = (address.isUnresolved()) ? address.getHostString() : address.getAddress().getHostAddress();
		return new KeyHome(instance, host, address.getPort());
	}

	String text() {
		return this.instance.value() + "@" + this.host + ":" + this.port;
	}

	@Override
	public int compareTo(KeyHome other) {
		return ORDER.compare(this, other);
	}

}
