package org.catkingate.decisions.configuration;

import java.util.Objects;

import org.catkingate.model.ConfigurationVersion;

/**
 * A version that a peer has been asked for. Immutable and safe for use by any thread.
 *
 * @param connection the link to the peer
 * @param version the version
 * @param timeoutAtMillis when another peer is asked, in milliseconds
 * @since 0.1
 */
public record PendingPull(long connection, ConfigurationVersion version, long timeoutAtMillis) {

	public PendingPull {
		Objects.requireNonNull(version, "version must not be null");
	}

}
