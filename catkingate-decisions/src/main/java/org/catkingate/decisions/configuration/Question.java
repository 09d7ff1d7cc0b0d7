package org.catkingate.decisions.configuration;

import java.util.Objects;

import org.catkingate.model.ConfigurationVersion;

/**
 * A version that a peer has been asked for. Immutable and safe for use by any thread.
 *
 * @param link the link to the peer
 * @param version the version
 * @param untilMillis when another peer is asked, in milliseconds
 * @since 0.1
 */
public record Question(long link, ConfigurationVersion version, long untilMillis) {

	public Question {
		Objects.requireNonNull(version, "version must not be null");
	}

}
