package org.catkingate.model;

/**
 * The name of a runner, unique among the runners of the agent on its instance. Immutable
 * and safe for use by any thread.
 *
 * @param value the name: 1 to 128 letters, digits, dots, dashes and underscores
 * @since 0.1
 */
public record RunnerId(String value) implements Comparable<RunnerId> {

	public RunnerId {
		NameValidator.check("runner", value);
	}

	@Override
	public int compareTo(RunnerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
