package org.catkingate.model.published;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.catkingate.model.AccountName;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.RegionName;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;
import org.catkingate.model.ini.ConfigurationProblem;
import org.catkingate.model.ini.IniDocument;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.model.ini.ProblemCollector;
import org.catkingate.model.ini.SectionReader;

/**
 * A parser of the INI parts of a publication. It returns the complete configuration or,
 * if there is any problem, none and reports all problems. Each object parses one
 * publication. Not thread-safe.
 *
 * @since 0.1
 */
public final class ConfigurationParser {

	private static final List<String> SECTION_KINDS = List.of("data-centre", "group", "service", "version", "account",
			"rule");

	private final ProblemCollector problems = new ProblemCollector();

	private final Map<String, IniDocument.Section> sections = new LinkedHashMap<>();

	private final Map<DataCentreName, RegionName> dataCentres = new HashMap<>();

	private final Map<ServiceName, Service> services = new HashMap<>();

	private final Map<String, InstanceGroup> groups = new HashMap<>();

	private final Map<VersionId, WeightsVersion> versions = new HashMap<>();

	private final Map<AccountName, ClientAccount> accounts = new HashMap<>();

	private final List<OrderedRule> rules = new ArrayList<>();

	private ConfigurationParser() {
	}

	/**
	 * Parses a publication.
	 * @param version the version of the publication
	 * @param parts the text of each part, in the order of the head
	 * @return the configuration, never null
	 * @throws InvalidConfigurationException if the publication has any problem
	 */
	public static PublishedConfiguration parse(ConfigurationVersion version, List<String> parts)
			throws InvalidConfigurationException {
		Objects.requireNonNull(version, "version must not be null");
		ConfigurationParser parser = new ConfigurationParser();
		parts.forEach(parser::collectSections);
		parser.sections.values().forEach(parser::readSection);
		ConsistencyCheck check = new ConsistencyCheck(parser.problems);
		check.checkVersions(parser.versions.values(), parser.services);
		check.checkAccounts(parser.accounts.values());
		parser.rules.forEach((rule) -> check.checkRule(rule.rule(), parser.services, parser.versions));
		parser.checkRuleOrder();
		parser.problems.throwIfAny();
		return parser.createConfiguration(version);
	}

	private PublishedConfiguration createConfiguration(ConfigurationVersion version) {
		List<RoutingRule> ordered = this.rules.stream()
			.sorted(Comparator.comparingInt(OrderedRule::order))
			.map(OrderedRule::rule)
			.toList();
		return new PublishedConfiguration(version, this.dataCentres, this.services, this.groups, this.versions,
				this.accounts, ordered);
	}

	private void collectSections(String part) {
		for (IniDocument.Section section : IniDocument.parse(part, this.problems).sections()) {
			if (this.sections.putIfAbsent(section.title(), section) != null) {
				this.problems.add(ConfigurationProblem.Kind.DUPLICATE, section.title(), "", "",
						"write the section in one part only");
			}
		}
	}

	private void readSection(IniDocument.Section section) {
		SectionReader reader = new SectionReader(section, this.sections.keySet(), this.problems);
		switch (section.kind()) {
			case "data-centre" -> readDataCentre(reader);
			case "group" -> readGroup(reader);
			case "service" -> readService(reader);
			case "version" -> readVersion(reader);
			case "account" -> readAccount(reader);
			case "rule" -> readRule(reader);
			default -> {
				reader.report(ConfigurationProblem.Kind.UNKNOWN_SECTION, "",
						"no such kind of section; " + ProblemCollector.suggest(section.kind(), SECTION_KINDS));
				return;
			}
		}
		reader.checkUnknownKeys();
	}

	private void readDataCentre(SectionReader reader) {
		DataCentreName name = reader.name("data-centre", DataCentreName::new);
		RegionName region = reader.value("region", null, RegionName::new);
		if (reader.isValid()) {
			this.dataCentres.put(name, region);
		}
	}

	private void readGroup(SectionReader reader) {
		// the name of a group has the same form as that of a service
		ServiceName name = reader.name("group", ServiceName::new);
		InstanceGroup group = new InstanceGroup(String.valueOf(name), reader.selector("selector"));
		if (reader.isValid()) {
			this.groups.put(group.name(), group);
		}
	}

	private void readService(SectionReader reader) {
		Service service = SectionParser.parseService(reader);
		if (service != null) {
			this.services.put(service.name(), service);
		}
	}

	private void readVersion(SectionReader reader) {
		WeightsVersion version = SectionParser.parseVersion(reader);
		if (version != null) {
			this.versions.put(version.id(), version);
		}
	}

	private void readAccount(SectionReader reader) {
		ClientAccount account = SectionParser.parseAccount(reader);
		if (account != null) {
			this.accounts.put(account.name(), account);
		}
	}

	private void readRule(SectionReader reader) {
		int order = reader.number("order", 0, Integer.MAX_VALUE);
		RoutingRule rule = SectionParser.parseRule(reader);
		if (rule != null) {
			this.rules.add(new OrderedRule(order, rule));
		}
	}

	private void checkRuleOrder() {
		Set<Integer> seen = new HashSet<>();
		for (OrderedRule rule : this.rules) {
			if (!seen.add(rule.order())) {
				this.problems.add(ConfigurationProblem.Kind.DUPLICATE, "rule " + rule.rule().name(), "order",
						Integer.toString(rule.order()), "give each rule a unique order");
			}
		}
	}

	/**
	 * A routing rule with its order. Immutable.
	 *
	 * @param order the order; rules with a lower order are evaluated first
	 * @param rule the rule
	 */
	private record OrderedRule(int order, RoutingRule rule) {

	}

}
