package org.catkingate.decisions.distribution;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.Manifest;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.Selector;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.Service;
import org.catkingate.model.published.WeightsVersion;

/**
 * Factories of fleets, versions and manifests for tests. Stateless.
 */
final class Fixtures {

	static final int CHUNK_BYTES = 200 * 1024;

	static final int PAGE_BYTES = 64 * 1024;

	static final long AMPLE_BYTES = 1L << 30;

	private static final ServiceName SERVICE = new ServiceName("llm");

	private Fixtures() {
	}

	static InstanceLocation member(String name, String dataCentre, String region) {
		return new InstanceLocation(new InstanceId(name), new DataCentreName(dataCentre), new RegionName(region));
	}

	/**
	 * Creates a version whose chunks are derived from numbers: equal numbers yield equal
	 * chunks.
	 * @param name the version's name
	 * @param numbers a number for each chunk
	 * @return the version, never null
	 */
	static Published published(String name, int... numbers) {
		List<Digest> chunks = new ArrayList<>();
		StringBuilder all = new StringBuilder(name);
		for (int number : numbers) {
			chunks.add(Digest.of(("chunk " + number).getBytes()));
			all.append(' ').append(number);
		}
		VersionId id = VersionId.of("model", name);
		Manifest manifest = new Manifest(id, (long) numbers.length * CHUNK_BYTES, CHUNK_BYTES,
				Digest.of(("whole " + all).getBytes()), chunks);
		WeightsVersion version = new WeightsVersion(id, SERVICE, Digest.of(all.toString().getBytes()),
				Selector.everything(), false);
		return new Published(version, manifest);
	}

	static FleetSnapshot fleet(List<InstanceLocation> members, WeightsVersion... versions) {
		Service service = new Service(SERVICE, Service.Kind.ENGINE, true, "none", List.of(), List.of(), 0, 0, 25, 1, 1);
		Map<VersionId, WeightsVersion> wanted = new HashMap<>();
		for (WeightsVersion version : versions) {
			wanted.put(version.id(), version);
		}
		PublishedConfiguration configuration = new PublishedConfiguration(
				new ConfigurationVersion(1, Digest.of(new byte[0])), Map.of(), Map.of(SERVICE, service), Map.of(),
				wanted, Map.of(), List.of());
		Map<InstanceId, AgentView> agents = new HashMap<>();
		members.forEach((member) -> agents.put(member.instance(), view(member)));
		return new FleetSnapshot(configuration, agents);
	}

	private static AgentView view(InstanceLocation member) {
		InstanceRecord record = new InstanceRecord(member.instance(), Role.AGENT,
				InetSocketAddress.createUnresolved("none", 1), member.dataCentre(), member.region(), Labels.none(),
				false);
		return new AgentView(record, 1, true, false, List.of(), List.of(), 0);
	}

	static DistributionSettings settings(InstanceLocation own, SourcePreference preference, long memoryBytes,
			boolean storeConfigured) {
		return new DistributionSettings(own, Labels.none(), memoryBytes, PAGE_BYTES, true, storeConfigured, preference);
	}

	/**
	 * A version and its manifest. Immutable.
	 *
	 * @param version the version as configured
	 * @param manifest its manifest
	 */
	record Published(WeightsVersion version, Manifest manifest) {

		Digest digest() {
			return this.version.manifestDigest();
		}

	}

}
