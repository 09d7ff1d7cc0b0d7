package org.catkingate.model.registry;

import java.util.Objects;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.ModelName;

/**
 * The parsed content of an item of the registry. Immutable and safe for use by any
 * thread.
 *
 * @since 0.1
 */
public sealed interface RegistryValue {

	/**
	 * The serving configuration.
	 *
	 * @param configuration the configuration
	 */
	record Configuration(ServingConfiguration configuration) implements RegistryValue {

		public Configuration {
			Objects.requireNonNull(configuration, "configuration must not be null");
		}

	}

	/**
	 * A registered runner.
	 *
	 * @param runner the runner
	 */
	record Runner(RegisteredRunner runner) implements RegistryValue {

		public Runner {
			Objects.requireNonNull(runner, "runner must not be null");
		}

	}

	/**
	 * The declared version of a model: the version of the weights that its runners should
	 * serve.
	 *
	 * @param model the model
	 * @param version the version
	 */
	record DeclaredVersion(ModelName model, long version) implements RegistryValue {

		public DeclaredVersion {
			Objects.requireNonNull(model, "model must not be null");
		}

	}

	/**
	 * The evacuation of a data centre: while the item exists, nothing may be sent to the
	 * runners there.
	 *
	 * @param dataCentre the data centre
	 */
	record Evacuation(DataCentreName dataCentre) implements RegistryValue {

		public Evacuation {
			Objects.requireNonNull(dataCentre, "dataCentre must not be null");
		}

	}

	/**
	 * An item that cannot be parsed or is of an unknown kind. It must be ignored.
	 *
	 * @param reason the reason, for the log
	 */
	record Unreadable(String reason) implements RegistryValue {

	}

}
