package org.catkingate.decisions.configuration;

import java.util.Objects;

import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.published.ConfigurationBundle;
import org.catkingate.model.published.PublishedConfiguration;

/**
 * A complete and valid version with the bytes that it was parsed from. Immutable and safe
 * for use by any thread.
 *
 * @param bundle the bytes of its head and parts
 * @param configuration the parsed configuration
 * @since 0.1
 */
public record ValidatedConfiguration(ConfigurationBundle bundle, PublishedConfiguration configuration) {

	public ValidatedConfiguration {
		Objects.requireNonNull(bundle, "bundle must not be null");
		Objects.requireNonNull(configuration, "configuration must not be null");
	}

	ConfigurationVersion version() {
		return this.bundle.version();
	}

}
