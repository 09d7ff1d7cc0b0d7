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
 * What a process knows of published configurations. The version in force never falls.
 * Immutable and safe for use by any thread.
 *
 * @param seed what jitter and choices are made from
 * @param inForce what is in force; null before anything is
 * @param candidate the highest that a new process has, until it has asked its peers; null
 * if there is none
 * @param startup how far a new process is
 * @param parts the parts that it has, by digest
 * @param offers what is in force at peers, by link
 * @param transfer what is being read from the service; null if nothing is
 * @param pendingPull what a peer has been asked for; null if none has
 * @param pullCount how many questions have been asked
 * @param rejections the publications not adopted, oldest first
 * @param head when the service is read
 * @param lowerReads how often the service gave a lower version than the one in force
 * @param windowStartedAtMillis when the window of sent versions began, in milliseconds
 * @param sentInWindow how many have been sent in it
 * @since 0.1
 */
public record ConfigurationState(long seed, ValidatedConfiguration inForce, ValidatedConfiguration candidate,
		StartupProgress startup, Map<Digest, byte[]> parts, SortedMap<Long, PeerVersion> offers, Transfer transfer,
		PendingPull pendingPull, long pullCount, List<Rejection> rejections, ReadSchedule head, long lowerReads,
		long windowStartedAtMillis, int sentInWindow) {

	public ConfigurationState {
		Objects.requireNonNull(startup, "startup must not be null");
		Objects.requireNonNull(head, "head must not be null");
		parts = Map.copyOf(parts);
		offers = Collections.unmodifiableSortedMap(new TreeMap<>(offers));
		rejections = List.copyOf(rejections);
	}

	/**
	 * Starts with nothing.
	 * @param seed what jitter and choices are made from
	 * @param nowMillis the time, which must be positive, in milliseconds
	 * @return the state, never null
	 */
	public static ConfigurationState starting(long seed, long nowMillis) {
		return new ConfigurationState(seed, null, null, new StartupProgress(false, nowMillis, false, Set.of()),
				Map.of(), new TreeMap<>(), null, null, 0, List.of(), ReadSchedule.startingAt(nowMillis, seed), 0,
				nowMillis, 0);
	}

	/**
	 * Returns the version in force.
	 * @return the version, the lowest before any is in force
	 */
	public ConfigurationVersion version() {
		return (this.inForce != null) ? this.inForce.version() : ConfigurationVersion.none();
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, without parts before any is in force
	 */
	public PublishedConfiguration configuration() {
		return (this.inForce != null) ? this.inForce.configuration() : PublishedConfiguration.empty();
	}

}
