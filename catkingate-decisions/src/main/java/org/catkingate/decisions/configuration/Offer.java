package org.catkingate.decisions.configuration;

import java.util.Objects;

import org.catkingate.model.ConfigurationVersion;

/**
 * What is in force at a peer. Immutable and safe for use by any thread.
 *
 * @param link the link to the peer
 * @param distance 0 for the own data centre, 1 for the own region, 2 beyond
 * @param version the version; the lowest for none
 * @param attempts how often it has been asked in vain
 * @since 0.1
 */
public record Offer(long link, int distance, ConfigurationVersion version, int attempts) {

	public Offer {
		Objects.requireNonNull(version, "version must not be null");
	}

	Offer askedInVain() {
		return new Offer(this.link, this.distance, this.version, this.attempts + 1);
	}

}
