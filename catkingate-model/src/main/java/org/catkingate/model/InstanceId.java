package org.catkingate.model;

/**
 * The name of an instance, as given in the platform's list of instances and in the
 * settings of its process. Immutable and safe for use by any thread.
 *
 * @param value the name: 1 to 128 letters, digits, dots, dashes and underscores
 * @since 0.1
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

	public InstanceId {
		NameValidator.check("instance", value);
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
