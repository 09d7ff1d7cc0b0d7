package org.catkingate.decisions.idempotency;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.Objects;

import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;

/**
 * An agent that may be the home of keys. A replacement that has taken over the name at
 * another address is a different home. A restart at the same address is the same home,
 * since two processes cannot listen there at the same time. Immutable and safe for use by
 * any thread.
 *
 * @param instance the instance
 * @param host the IP address at which it listens for peers
 * @param port the port at which it listens for peers
 * @since 0.1
 */
public record KeyHome(InstanceId instance, String host, int port) implements Comparable<KeyHome> {

	private static final Comparator<KeyHome> ORDER = Comparator.comparing(KeyHome::text);

	public KeyHome {
		Objects.requireNonNull(instance, "instance must not be null");
		Objects.requireNonNull(host, "host must not be null");
	}

	/**
	 * Creates a home from a record of the instance list.
	 * @param instance the record
	 * @return the home, never null
	 */
	public static KeyHome of(InstanceRecord instance) {
		return of(instance.id(), instance.address());
	}

	/**
	 * Creates a home.
	 * @param instance the instance
	 * @param address the address at which it listens for peers, according to the instance
	 * list
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
