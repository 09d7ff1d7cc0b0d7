package org.catkingate.decisions.configuration;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;
import org.catkingate.model.ini.ConfigurationProblem;

/**
 * A publication that was not adopted. Immutable and safe for use by any thread.
 *
 * @param version its version; the lowest if its head could not be parsed
 * @param headDigest the digest of its head
 * @param problems the problems found
 * @since 0.1
 */
public record Rejection(ConfigurationVersion version, Digest headDigest, List<ConfigurationProblem> problems) {

	public Rejection {
		Objects.requireNonNull(version, "version must not be null");
		Objects.requireNonNull(headDigest, "headDigest must not be null");
		problems = List.copyOf(problems);
	}

}
