package org.catkingate.decisions.distribution;

import java.util.Objects;

import org.catkingate.model.Labels;

/**
 * The settings of the distribution on one agent. Immutable and safe for use by any
 * thread.
 *
 * @param own the instance of the agent, with its location
 * @param labels the labels of the instance
 * @param memoryBytes the memory available for chunks, in bytes
 * @param pageBytes the unit in which memory for chunks is allocated, in bytes
 * @param originConfigured whether an origin is configured
 * @param storeConfigured whether a weight store is configured
 * @param preference whether to save time or bytes read from the origin
 * @since 0.1
 */
public record DistributionSettings(InstanceLocation own, Labels labels, long memoryBytes, int pageBytes,
		boolean originConfigured, boolean storeConfigured, SourcePreference preference) {

	public DistributionSettings {
		Objects.requireNonNull(own, "own must not be null");
		Objects.requireNonNull(labels, "labels must not be null");
		Objects.requireNonNull(preference, "preference must not be null");
	}

}
