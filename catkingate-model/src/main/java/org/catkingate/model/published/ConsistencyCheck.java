package org.catkingate.model.published;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.catkingate.model.AccountName;
import org.catkingate.model.Digest;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;
import org.catkingate.model.ini.ConfigurationProblem;
import org.catkingate.model.ini.ProblemCollector;

/**
 * A check for contradictions between sections that are valid on their own. Not
 * thread-safe.
 */
final class ConsistencyCheck {

	private final ProblemCollector problems;

	ConsistencyCheck(ProblemCollector problems) {
		this.problems = problems;
	}

	void checkVersions(Collection<WeightsVersion> versions, Map<ServiceName, Service> services) {
		for (WeightsVersion version : versions) {
			String title = "version " + version.id().model() + " " + version.id().version();
			Service service = services.get(version.service());
			if (service != null && service.kind() != Service.Kind.ENGINE) {
				reportContradiction(title, "service", version.service().value(), "name a service of kind engine");
			}
		}
	}

	void checkAccounts(Collection<ClientAccount> accounts) {
		Map<Digest, AccountName> owners = new HashMap<>();
		accounts.stream().sorted((a, b) -> a.name().compareTo(b.name())).forEach((account) -> {
			AccountName owner = owners.putIfAbsent(account.keyDigest(), account.name());
			if (owner != null) {
				this.problems.add(ConfigurationProblem.Kind.DUPLICATE, "account " + account.name(), "key-sha256",
						account.keyDigest().hex(),
						"account " + owner + " has the same key; give each account its own key");
			}
		});
	}

	void checkRule(RoutingRule rule, Map<ServiceName, Service> services, Map<VersionId, WeightsVersion> versions) {
		String title = "rule " + rule.name();
		Service service = services.get(rule.service());
		if (service != null) {
			checkKind(title, rule, service);
		}
		WeightsVersion version = rule.requiredVersion().map(versions::get).orElse(null);
		if (version != null && !version.service().equals(rule.service())) {
			reportContradiction(title, "version", format(version.id()),
					"this version belongs to service " + version.service() + "; name that service or another version");
		}
	}

	private void checkKind(String title, RoutingRule rule, Service service) {
		boolean engine = service.kind() == Service.Kind.ENGINE;
		if (engine && rule.requiredVersion().isEmpty()) {
			this.problems.add(ConfigurationProblem.Kind.MISSING_KEY, title, "version", "",
					"service " + service.name() + " has model engines; set the version that must respond");
		}
		if (!engine && rule.requiredVersion().isPresent()) {
			reportContradiction(title, "version", format(rule.version()),
					"service " + service.name() + " is plain and holds no weights; remove this key");
		}
	}

	private void reportContradiction(String title, String key, String value, String remedy) {
		this.problems.add(ConfigurationProblem.Kind.CONTRADICTION, title, key, value, remedy);
	}

	private static String format(VersionId id) {
		return id.model() + " " + id.version();
	}

}
