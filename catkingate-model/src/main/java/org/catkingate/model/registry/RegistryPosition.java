package org.catkingate.model.registry;

/**
 * A position in the history of a registry. The era comes first: a registry that was
 * restored from a copy assigns the same revisions again, to other changes. Immutable and
 * safe for use by any thread.
 *
 * @param era the number of times the registry was restored, {@link #UNKNOWN_ERA} for a
 * registry that does not report it
 * @param revision the revision within the era
 * @since 0.1
 */
public record RegistryPosition(long era, long revision) implements Comparable<RegistryPosition> {

	/** The era of a registry that does not report eras; lower than any reported era. */
	public static final long UNKNOWN_ERA = 0;

	/** The position before the first response of a registry. */
	public static final RegistryPosition START = new RegistryPosition(UNKNOWN_ERA, 0);

	public RegistryPosition {
		if (era < 0 || revision < 0) {
			throw new IllegalArgumentException("era and revision must not be negative");
		}
	}

	/**
	 * Returns the position of the same era before its first change.
	 * @return the position, never null
	 */
	public RegistryPosition startOfEra() {
		return new RegistryPosition(this.era, 0);
	}

	/**
	 * Returns whether this is a position of a later era, whatever the revisions are.
	 * @param other the position to compare with
	 * @return whether the registry was restored in between
	 */
	public boolean isOfLaterEraThan(RegistryPosition other) {
		return this.era > other.era;
	}

	@Override
	public int compareTo(RegistryPosition other) {
		int order = Long.compare(this.era, other.era);
		return (order != 0) ? order : Long.compare(this.revision, other.revision);
	}

	@Override
	public String toString() {
		return this.era + "/" + this.revision;
	}

}
