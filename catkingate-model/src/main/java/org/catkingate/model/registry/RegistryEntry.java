package org.catkingate.model.registry;

import java.util.Objects;

import org.catkingate.model.ModelName;

/**
 * What one item of a registry says. Immutable and safe for use by any thread.
 *
 * @since 0.1
 */
public sealed interface RegistryEntry {

	/**
	 * The configuration.
	 *
	 * @param configuration the configuration
	 */
	record Configuration(ServingConfiguration configuration) implements RegistryEntry {

		public Configuration {
			Objects.requireNonNull(configuration, "configuration must not be null");
		}

	}

	/**
	 * A runner.
	 *
	 * @param runner the runner
	 */
	record Runner(RegisteredRunner runner) implements RegistryEntry {

		public Runner {
			Objects.requireNonNull(runner, "runner must not be null");
		}

	}

	/**
	 * The version of a model's weights that its runners are to serve.
	 *
	 * @param model the model
	 * @param version the version
	 */
	record DeclaredVersion(ModelName model, long version) implements RegistryEntry {

		public DeclaredVersion {
			Objects.requireNonNull(model, "model must not be null");
		}

	}

	/**
	 * An item that cannot be understood, or that is none of the others. It names nothing
	 * to use.
	 *
	 * @param reason why, for the log
	 */
	record Unreadable(String reason) implements RegistryEntry {

	}

}
