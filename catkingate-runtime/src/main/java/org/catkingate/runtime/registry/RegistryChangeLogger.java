package org.catkingate.runtime.registry;

import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.model.RunnerId;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.ServingConfiguration;

/**
 * Logs what a new view of the registry changes, one line for each belief. Stateless.
 */
final class RegistryChangeLogger {

	private static final Logger logger = LoggerFactory.getLogger(RegistryChangeLogger.class);

	private RegistryChangeLogger() {
	}

	static void log(RegistryView before, RegistryView next) {
		long oldVersion = before.configuration().map(ServingConfiguration::version).orElse(0L);
		next.configuration()
			.filter((published) -> published.version() != oldVersion)
			.ifPresent((published) -> logger.atInfo()
				.addKeyValue("event", "configuration")
				.addKeyValue("version", published.version())
				.addKeyValue("before", oldVersion)
				.addKeyValue("revision", next.revision())
				.addKeyValue("routes", published.routes().size())
				.addKeyValue("keys", published.accounts().size())
				.log("a configuration is in force"));
		next.versions().forEach((model, version) -> {
			if (!Objects.equals(before.versions().get(model), version)) {
				logger.atInfo()
					.addKeyValue("event", "version-declared")
					.addKeyValue("model", model)
					.addKeyValue("version", version)
					.addKeyValue("revision", next.revision())
					.log("a version of a model's weights is declared");
			}
		});
		Set<RunnerId> ids = new TreeSet<>(before.runners().keySet());
		ids.addAll(next.runners().keySet());
		ids.forEach((id) -> logRunner(before.runners().get(id), next.runners().get(id), next.revision()));
	}

	private static void logRunner(RegisteredRunner before, RegisteredRunner next, long revision) {
		if (Objects.equals(before, next)) {
			return;
		}
		RegisteredRunner shown = (next != null) ? next : before;
		logger.atInfo()
			.addKeyValue("event", "runner")
			.addKeyValue("runner", shown.id())
			.addKeyValue("service", shown.service())
			.addKeyValue("address", shown.address())
			.addKeyValue("state", state(next))
			.addKeyValue("models", shown.models())
			.addKeyValue("revision", revision)
			.log("a runner has changed");
	}

	private static String state(RegisteredRunner runner) {
		if (runner == null) {
			return "gone";
		}
		return runner.draining() ? "draining" : "ready";
	}

}
