package org.catkingate.decisions.configuration;

import java.util.Objects;

import org.catkingate.model.ConfigurationVersion;

/**
 * A version that a peer has been requested to send. Immutable and safe for use by any
 * thread.
 *
 * @param connection the number of the connection to the peer
 * @param version the requested version
 * @param timeoutAtMillis when the request times out, so that the version may be requested
 * from another peer, in milliseconds
 * @since 0.1
 */
public record PendingPull(long connection, ConfigurationVersion version, long timeoutAtMillis) {

	public PendingPull {
		Objects.requireNonNull(version, "version must not be null");
	}

}
