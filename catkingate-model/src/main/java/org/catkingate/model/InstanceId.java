package org.catkingate.model;

/**
 * Names one instance, as the platform's list and the process's settings do. Immutable and
 * safe for use by any thread.
 *
 * @param value the name: 1 to 128 letters, digits, dots, dashes and underscores
 * @since 0.1
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

	public InstanceId {
		Names.check("instance", value);
	}

	@Override
	public int compareTo(InstanceId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
