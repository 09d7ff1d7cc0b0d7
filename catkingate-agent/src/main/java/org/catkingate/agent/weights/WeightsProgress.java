package org.catkingate.agent.weights;

import java.util.Map;
import java.util.SortedMap;

import org.catkingate.decisions.distribution.DistributionState;
import org.catkingate.decisions.distribution.SourceDistance;
import org.catkingate.model.VersionId;

/**
 * Progress of the versions at one agent, for the dump and the metrics. Immutable and safe
 * for use by any thread.
 *
 * @param versions the progress of each wanted version
 * @param receivedBytes the bytes of verified chunks by the distance of their source
 * @param sentBytes the bytes sent to peers
 * @param arrivedBytes the bytes of all slices that have arrived, including unused ones
 * @param usedBytes the memory that holds chunks, in bytes
 * @param allocatedBytes the memory allocated for chunks, in bytes
 * @since 0.1
 */
public record WeightsProgress(SortedMap<VersionId, DistributionState.Progress> versions,
		Map<SourceDistance, Long> receivedBytes, long sentBytes, long arrivedBytes, long usedBytes,
		long allocatedBytes) {

}
