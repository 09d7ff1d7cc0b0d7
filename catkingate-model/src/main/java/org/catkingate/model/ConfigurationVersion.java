package org.catkingate.model;

import java.util.Comparator;
import java.util.Objects;

/**
 * The version of a published configuration. Versions are ordered by revision, then by
 * digest, so that all processes choose the same one of two publications with the same
 * revision. Immutable and safe for use by any thread.
 *
 * @param revision the revision; 0 if nothing has been published
 * @param digest the digest of the published head
 * @since 0.1
 */
public record ConfigurationVersion(long revision, Digest digest) implements Comparable<ConfigurationVersion> {

	private static final Comparator<ConfigurationVersion> ORDER = Comparator
		.comparingLong(ConfigurationVersion::revision)
		.thenComparing(ConfigurationVersion::digest);

	private static final ConfigurationVersion NONE = new ConfigurationVersion(0, new Digest("0".repeat(64)));

	public ConfigurationVersion {
		if (revision < 0) {
			throw new IllegalArgumentException("revision must not be negative");
		}
		Objects.requireNonNull(digest, "digest must not be null");
	}

	/**
	 * Returns the version before any publication.
	 * @return the lowest version, never null
	 */
	public static ConfigurationVersion none() {
		return NONE;
	}

	/**
	 * Returns whether this version may replace another one.
	 * @param other the version in force
	 * @return {@code true} if this version is higher
	 */
	public boolean isHigherThan(ConfigurationVersion other) {
		return compareTo(other) > 0;
	}

	@Override
	public int compareTo(ConfigurationVersion other) {
		return ORDER.compare(this, other);
	}

	@Override
	public String toString() {
		return this.revision + "-" + this.digest.hex().substring(0, 12);
	}

}
