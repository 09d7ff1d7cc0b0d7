package org.catkingate.agent.idempotency;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.Selector;
import org.catkingate.model.ServiceName;
import org.catkingate.model.published.InstanceGroup;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.Service;

/**
 * Configurations and instance lists of a fleet with one plain service on all agents.
 */
final class TestFleet {

	static final ServiceName SERVICE = new ServiceName("catalogue-api");

	static final long REPEAT_WINDOW_MILLIS = 60_000;

	private TestFleet() {
	}

	static PublishedConfiguration configuration(int expectedRunners) {
		Service service = new Service(SERVICE, Service.Kind.PLAIN, false, "all", List.of(), List.of(),
				REPEAT_WINDOW_MILLIS, expectedRunners, 100, 1, 1);
		InstanceGroup all = new InstanceGroup("all", Selector.everything());
		return new PublishedConfiguration(ConfigurationVersion.none(), Map.of(), Map.of(SERVICE, service),
				Map.of("all", all), Map.of(), Map.of(), List.of());
	}

	static List<InstanceRecord> list(Map<String, InetSocketAddress> agents) {
		return agents.entrySet().stream().map((agent) -> instance(agent.getKey(), agent.getValue())).toList();
	}

	private static InstanceRecord instance(String name, InetSocketAddress address) {
		return new InstanceRecord(new InstanceId(name), Role.AGENT, address, new DataCentreName("ahd-a"),
				new RegionName("guj-west"), Labels.none(), false);
	}

}
