package org.catkingate.decisions.configuration;

import java.util.Objects;

import org.catkingate.model.ConfigurationVersion;

/**
 * The version in force at a peer. Immutable and safe for use by any thread.
 *
 * @param connection the number of the connection to the peer
 * @param distance 0 within the same data centre, 1 within the same region, 2 across
 * regions
 * @param version the version; the lowest if none is in force
 * @param failedPulls how many requests to the peer for this version have timed out
 * @since 0.1
 */
public record PeerVersion(long connection, int distance, ConfigurationVersion version, int failedPulls) {

	public PeerVersion {
		Objects.requireNonNull(version, "version must not be null");
	}

	PeerVersion withFailedPull() {
		return new PeerVersion(this.connection, this.distance, this.version, this.failedPulls + 1);
	}

}
