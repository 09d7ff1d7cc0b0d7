package org.catkingate.decisions.runners;

import java.util.Objects;

import org.catkingate.model.Digest;
import org.catkingate.model.Manifest;
import org.catkingate.model.VersionId;
import org.catkingate.model.published.WeightsVersion;

/**
 * A version that runners of this agent may serve. Immutable and safe for use by any
 * thread.
 *
 * @param version the version as configured
 * @param manifest its manifest
 * @param completeAtMillis when all its chunks were first held, in monotonic milliseconds;
 * negative if they are not
 * @since 0.1
 */
public record TargetVersion(WeightsVersion version, Manifest manifest, long completeAtMillis) {

	public TargetVersion {
		Objects.requireNonNull(version, "version must not be null");
		Objects.requireNonNull(manifest, "manifest must not be null");
	}

	VersionId id() {
		return this.version.id();
	}

	Digest digest() {
		return this.manifest.digest();
	}

	boolean isComplete() {
		return this.completeAtMillis >= 0;
	}

}
