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
 * @param address where it listens for peers
 * @since 0.1
 */
public record KeyHome(InstanceId instance, InetSocketAddress address) implements Comparable<KeyHome> {

	private static final Comparator<KeyHome> ORDER = Comparator.comparing(KeyHome::text);

	public KeyHome {
		Objects.requireNonNull(instance, "instance must not be null");
		Objects.requireNonNull(address, "address must not be null");
	}

	/**
	 * Takes the home out of a line of the platform's list.
	 * @param instance the line
	 * @return the home, never null
	 */
	public static KeyHome of(InstanceRecord instance) {
		return new KeyHome(instance.id(), instance.address());
	}

	String text() {
		return this.instance.value() + "@" + this.address.getHostString() + ":" + this.address.getPort();
	}

	@Override
	public int compareTo(KeyHome other) {
		return ORDER.compare(this, other);
	}

}
