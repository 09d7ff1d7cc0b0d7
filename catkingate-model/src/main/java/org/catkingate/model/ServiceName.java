package org.catkingate.model;

/**
 * The name of a service that requests are routed to. Immutable and safe for use by any
 * thread.
 *
 * @param value the name: 1 to 128 letters, digits, dots, dashes and underscores
 * @since 0.1
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

	public ServiceName {
		NameValidator.check("service", value);
	}

	@Override
	public int compareTo(ServiceName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
