package org.catkingate.entry;

import java.util.Map;
import java.util.TreeMap;

import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.published.WeightsVersion;

/**
 * The progress of a version's rollout, counted over the agents that this process is
 * connected to. Immutable.
 *
 * @param serving the number of runners that serve the version
 * @param selected the number of runners that the version's selector matches
 */
record VersionReplicaCounts(int serving, int selected) {

	static Map<String, VersionReplicaCounts> of(FleetSnapshot fleet) {
		Map<String, VersionReplicaCounts> versions = new TreeMap<>();
		fleet.configuration()
			.versions()
			.values()
			.stream()
			.filter((version) -> !version.withdrawn())
			.forEach((version) -> versions.put(version.id().toString(), count(fleet, version)));
		return versions;
	}

	private static VersionReplicaCounts count(FleetSnapshot fleet, WeightsVersion version) {
		int serving = 0;
		int selected = 0;
		for (AgentView agent : fleet.agents().values()) {
			boolean matches = version.selector().matches(agent.instance().labels());
			for (RunnerStatus runner : agent.runners()) {
				boolean sameService = runner.service().equals(version.service());
				selected += (matches && sameService) ? 1 : 0;
				serving += (runner.admitting() && version.id().equals(runner.version())) ? 1 : 0;
			}
		}
		return new VersionReplicaCounts(serving, selected);
	}

}
