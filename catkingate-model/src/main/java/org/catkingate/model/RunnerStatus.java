package org.catkingate.model;

import java.util.Objects;

/**
 * The state of a runner, as reported by its agent. Immutable and safe for use by any
 * thread.
 *
 * @param runner the runner
 * @param service the service that it belongs to
 * @param version the version that it serves; null if it serves none or belongs to a plain
 * service
 * @param digest the digest of the weights that the engine reports; null in the same cases
 * @param admitting whether it currently accepts requests
 * @since 0.1
 */
public record RunnerStatus(RunnerId runner, ServiceName service, VersionId version, Digest digest, boolean admitting) {

	public RunnerStatus {
		Objects.requireNonNull(runner, "runner must not be null");
		Objects.requireNonNull(service, "service must not be null");
	}

}
