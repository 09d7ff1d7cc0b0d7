package org.catkingate.model;

import java.util.Comparator;
import java.util.Objects;

/**
 * The identifier of a version of a model, or of an adapter, which is distributed in the
 * same way. Immutable and safe for use by any thread.
 *
 * @param model the model, never null
 * @param version the name of the version, with the same form as other names
 * @since 0.1
 */
public record VersionId(ModelName model, String version) implements Comparable<VersionId> {

	private static final Comparator<VersionId> ORDER = Comparator.comparing(VersionId::model)
		.thenComparing(VersionId::version);

	public VersionId {
		Objects.requireNonNull(model, "model must not be null");
		NameValidator.check("version", version);
	}

	/**
	 * Creates an identifier from two names.
	 * @param model the model's name
	 * @param version the version's name
	 * @return the identifier, never null
	 */
	public static VersionId of(String model, String version) {
		return new VersionId(new ModelName(model), version);
	}

	@Override
	public int compareTo(VersionId other) {
		return ORDER.compare(this, other);
	}

	@Override
	public String toString() {
		return this.model + "@" + this.version;
	}

}
