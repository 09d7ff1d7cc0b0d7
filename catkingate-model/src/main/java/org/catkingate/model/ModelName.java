package org.catkingate.model;

/**
 * The name of a model whose versions are distributed. Immutable and safe for use by any
 * thread.
 *
 * @param value the name: 1 to 128 letters, digits, dots, dashes and underscores
 * @since 0.1
 */
public record ModelName(String value) implements Comparable<ModelName> {

	public ModelName {
		NameValidator.check("model", value);
	}

	@Override
	public int compareTo(ModelName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
