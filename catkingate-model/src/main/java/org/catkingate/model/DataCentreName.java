package org.catkingate.model;

/**
 * The name of a data centre. Immutable and safe for use by any thread.
 *
 * @param value the name: 1 to 128 letters, digits, dots, dashes and underscores
 * @since 0.1
 */
public record DataCentreName(String value) implements Comparable<DataCentreName> {

	public DataCentreName {
		NameValidator.check("data centre", value);
	}

	@Override
	public int compareTo(DataCentreName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
