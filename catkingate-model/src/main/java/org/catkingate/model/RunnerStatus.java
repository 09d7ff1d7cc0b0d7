package org.catkingate.model;

import java.util.Objects;

/**
 * The state of one runner, as its agent tells it. Immutable and safe for use by any
 * thread.
 *
 * @param runner the runner
 * @param service the service that it belongs to
 * @param version the version that it serves; null if it serves none or is plain
 * @param digest the digest of the weights that the engine reports; null likewise
 * @param admitting whether it takes requests now
 * @since 0.1
 */
public record RunnerStatus(RunnerId runner, ServiceName service, VersionId version, Digest digest, boolean admitting) {

	public RunnerStatus {
		Objects.requireNonNull(runner, "runner must not be null");
		Objects.requireNonNull(service, "service must not be null");
	}

}
