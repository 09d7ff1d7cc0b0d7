package org.catkingate.decisions.configuration;

import java.util.Objects;

import org.catkingate.model.ConfigurationVersion;

/**
 * What is in force at a peer. Immutable and safe for use by any thread.
 *
 * @param connection the link to the peer
 * @param distance 0 for the own data centre, 1 for the own region, 2 beyond
 * @param version the version; the lowest for none
 * @param failedPulls how often it has been asked in vain
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
