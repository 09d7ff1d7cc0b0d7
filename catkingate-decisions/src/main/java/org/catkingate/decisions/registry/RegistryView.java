package org.catkingate.decisions.registry;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryPosition;
import org.catkingate.model.registry.RegistryValue;
import org.catkingate.model.registry.ServingConfiguration;

/**
 * The state of a registry as known to a process. Immutable and safe for use by any
 * thread.
 *
 * @param position the position of the registry that the view reflects
 * @param configuration the configuration in force, empty if none is known
 * @param runners the registered runners
 * @param versions the declared version of each model; a model without one has
 * {@link #FIRST_VERSION}
 * @param evacuated the data centres that operators have evacuated
 * @since 0.1
 */
public record RegistryView(RegistryPosition position, Optional<ServingConfiguration> configuration,
		Map<RunnerId, RegisteredRunner> runners, Map<ModelName, Long> versions, Set<DataCentreName> evacuated) {

	/** The version of a model's weights while none is declared. */
	public static final long FIRST_VERSION = 1;

	public RegistryView {
		Objects.requireNonNull(position, "position must not be null");
		Objects.requireNonNull(configuration, "configuration must not be null");
		runners = Map.copyOf(runners);
		versions = Map.copyOf(versions);
		evacuated = Set.copyOf(evacuated);
	}

	/**
	 * Returns a view without any items.
	 * @return the view, never null
	 */
	public static RegistryView empty() {
		return new RegistryView(RegistryPosition.START, Optional.empty(), Map.of(), Map.of(), Set.of());
	}

	static RegistryView of(RegistryPosition position, Collection<RegistryItem> items) {
		Optional<ServingConfiguration> inForce = Optional.empty();
		Map<RunnerId, RegisteredRunner> runners = new HashMap<>();
		Map<ModelName, Long> versions = new HashMap<>();
		Set<DataCentreName> evacuated = new HashSet<>();
		for (RegistryItem item : items) {
			if (item.value() instanceof RegistryValue.Configuration published) {
				inForce = Optional.of(published.configuration());
			}
			else if (item.value() instanceof RegistryValue.Runner runner) {
				runners.put(runner.runner().id(), runner.runner());
			}
			else if (item.value() instanceof RegistryValue.DeclaredVersion declared) {
				versions.merge(declared.model(), declared.version(), Math::max);
			}
			else if (item.value() instanceof RegistryValue.Evacuation evacuation) {
				evacuated.add(evacuation.dataCentre());
			}
		}
		return new RegistryView(position, inForce, withoutSuperseded(runners), versions, evacuated);
	}

	/*
	 * After a restart under another id, the registration of the time before may be listed
	 * until it expires. Only one process can listen on an address: the one that started
	 * last.
	 */
	private static Map<RunnerId, RegisteredRunner> withoutSuperseded(Map<RunnerId, RegisteredRunner> runners) {
		Map<InetSocketAddress, Long> newestStarts = new HashMap<>();
		runners.values()
			.forEach((runner) -> newestStarts.merge(runner.address(), runner.startedAtEpochMillis(), Math::max));
		runners.values().removeIf((runner) -> runner.startedAtEpochMillis() < newestStarts.get(runner.address()));
		return runners;
	}

	/**
	 * Returns the version of a model's weights that should be served.
	 * @param model the model
	 * @return the version
	 */
	public long version(ModelName model) {
		return this.versions.getOrDefault(model, FIRST_VERSION);
	}

}
