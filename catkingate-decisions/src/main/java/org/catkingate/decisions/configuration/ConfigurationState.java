package org.catkingate.decisions.configuration;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.catkingate.decisions.reading.ReadSchedule;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;
import org.catkingate.model.published.PublishedConfiguration;

/**
 * The state of one process with regard to published configurations. The version in force
 * never decreases. Immutable and safe for use by any thread.
 *
 * @param seed the seed of jitter and of choices among peers
 * @param inForce the configuration in force; null before the first is adopted
 * @param candidate the highest version that a new process has received while it still
 * queries its peers; null if there is none
 * @param startup the progress of a new process in querying its peers
 * @param parts the parts that the process holds, by digest
 * @param peerVersions the versions in force at peers, by connection
 * @param download the version that is being read from the configuration service; null if
 * there is none
 * @param pendingPull the version that a peer has been requested to send; null if there is
 * none
 * @param pullCount the number of requests for versions sent to peers so far
 * @param rejections the publications not adopted, oldest first
 * @param headReads the schedule of the reads of the head from the configuration service
 * @param lowerVersionReads how often the configuration service returned a lower version
 * than the highest one held
 * @param windowStartedAtMillis when the current window of sent versions began, in
 * milliseconds
 * @param sentInWindow how many versions have been sent in that window
 * @since 0.1
 */
public record ConfigurationState(long seed, ValidatedConfiguration inForce, ValidatedConfiguration candidate,
		StartupProgress startup, Map<Digest, byte[]> parts, SortedMap<Long, PeerVersion> peerVersions,
		ConfigurationDownload download, PendingPull pendingPull, long pullCount, List<Rejection> rejections,
		ReadSchedule headReads, long lowerVersionReads, long windowStartedAtMillis, int sentInWindow) {

	public ConfigurationState {
		Objects.requireNonNull(startup, "startup must not be null");
		Objects.requireNonNull(headReads, "headReads must not be null");
		parts = Map.copyOf(parts);
		peerVersions = Collections.unmodifiableSortedMap(new TreeMap<>(peerVersions));
		rejections = List.copyOf(rejections);
	}

	/**
	 * Creates the state of a process that has just started.
	 * @param seed the seed of jitter and of choices among peers
	 * @param nowMillis the time, which must be positive, in milliseconds
	 * @return a state without any configuration, never null
	 */
	public static ConfigurationState starting(long seed, long nowMillis) {
		return new ConfigurationState(seed, null, null, new StartupProgress(false, nowMillis, false, Set.of()),
				Map.of(), new TreeMap<>(), null, null, 0, List.of(), ReadSchedule.create(nowMillis, seed), 0, nowMillis,
				0);
	}

	/**
	 * Returns the version in force.
	 * @return the version; the lowest before any is in force
	 */
	public ConfigurationVersion version() {
		return (this.inForce != null) ? this.inForce.version() : ConfigurationVersion.none();
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration; an empty one before any is in force
	 */
	public PublishedConfiguration configuration() {
		return (this.inForce != null) ? this.inForce.configuration() : PublishedConfiguration.empty();
	}

}
