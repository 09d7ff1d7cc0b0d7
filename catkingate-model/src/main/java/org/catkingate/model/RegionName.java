package org.catkingate.model;

/**
 * The name of a region, which holds one or more data centres. Immutable and safe for use
 * by any thread.
 *
 * @param value the name: 1 to 128 letters, digits, dots, dashes and underscores
 * @since 0.1
 */
public record RegionName(String value) implements Comparable<RegionName> {

	public RegionName {
		NameValidator.check("region", value);
	}

	@Override
	public int compareTo(RegionName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
