package org.catkingate.decisions.distribution;

import java.util.Objects;

import org.catkingate.model.Labels;

/**
 * What one agent knows of itself. Immutable and safe for use by any thread.
 *
 * @param own the instance and where it stands
 * @param labels its labels
 * @param memoryBytes the memory for chunks, in bytes
 * @param pageBytes the unit in which chunks take memory, in bytes
 * @param origin whether there is an origin
 * @param store whether there is a weight store
 * @param preference what matters more
 * @since 0.1
 */
public record DistributionSettings(Member own, Labels labels, long memoryBytes, int pageBytes, boolean origin,
		boolean store, Preference preference) {

	public DistributionSettings {
		Objects.requireNonNull(own, "own must not be null");
		Objects.requireNonNull(labels, "labels must not be null");
		Objects.requireNonNull(preference, "preference must not be null");
	}

}
