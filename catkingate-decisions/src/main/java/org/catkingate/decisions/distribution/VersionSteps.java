package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Manifest;
import org.catkingate.model.published.WeightsVersion;

/**
 * Which versions are wanted here, and whether they fit. Stateless and safe for use by any
 * thread.
 */
final class VersionSteps {

	private VersionSteps() {
	}

	static void fleetChanged(Work work, FleetSnapshot fleet) {
		Map<Digest, WeightsVersion> wanted = new TreeMap<>();
		for (WeightsVersion version : fleet.configuration().versions().values()) {
			if (Selection.isSelected(fleet.configuration(), version, work.settings.labels())) {
				wanted.put(version.manifestDigest(), version);
			}
		}
		drop(work, wanted.keySet());
		wanted.forEach((digest, version) -> want(work, fleet, version));
		releaseUnneeded(work);
		recheckRefused(work);
		Set<InstanceId> neighbours = new TreeSet<>();
		work.downloads.values().forEach((download) -> neighbours.addAll(download.neighbours()));
		work.add(new DistributionEffect.ConnectNeighbours(neighbours));
	}

	private static void drop(Work work, Set<Digest> wanted) {
		List<Digest> dropped = new ArrayList<>(work.downloads.keySet());
		dropped.removeAll(wanted);
		for (Digest digest : dropped) {
			Download download = work.downloads.remove(digest);
			List<Digest> chunks = new ArrayList<>();
			work.transfers.forEach((chunk, transfer) -> {
				if (transfer.manifest().equals(digest) && !transfer.isWhole()) {
					chunks.add(chunk);
				}
			});
			chunks.forEach(work::abandon);
			work.add(new DistributionEffect.VersionDropped(download.version()));
		}
	}

	private static void want(Work work, FleetSnapshot fleet, WeightsVersion version) {
		List<Member> members = members(work, fleet, version);
		Download present = work.downloads.get(version.manifestDigest());
		if (present != null && present.members().equals(members)) {
			work.downloads.put(version.manifestDigest(), present.withVersion(version));
			reportAgain(work, present, version);
			return;
		}
		Set<InstanceId> neighbours = Neighbours.of(work.settings.own(), members);
		Download changed = (present != null)
				? present.withVersion(version).withMembers(work.settings.own(), members, neighbours)
				: Download.of(version, members, neighbours);
		work.downloads.put(version.manifestDigest(), changed);
	}

	private static void reportAgain(Work work, Download present, WeightsVersion version) {
		if (present.content() != null && !present.version().equals(version)) {
			work.add(new DistributionEffect.VersionKnown(version, present.content().manifest()));
			TransferSteps.reportWhole(work, present.withVersion(version));
		}
	}

	private static List<Member> members(Work work, FleetSnapshot fleet, WeightsVersion version) {
		Map<InstanceId, Member> members = new TreeMap<>();
		for (AgentView agent : fleet.agents().values()) {
			InstanceRecord instance = agent.instance();
			boolean leaving = agent.draining() || instance.leaving();
			if (!leaving && Selection.isSelected(fleet.configuration(), version, instance.labels())) {
				members.put(instance.id(), new Member(instance.id(), instance.dataCentre(), instance.region()));
			}
		}
		members.put(work.settings.own().instance(), work.settings.own());
		return List.copyOf(members.values());
	}

	static void manifestArrived(Work work, Digest digest, Manifest manifest) {
		Download download = work.downloads.get(digest);
		if (download == null || download.content() != null) {
			return;
		}
		ChunkSet present = ChunkSet.empty();
		for (int i = 0; i < manifest.chunks().size(); i++) {
			if (work.held().containsKey(manifest.chunks().get(i))) {
				present = present.with(i);
			}
		}
		Download.Content content = Download.Content.of(work.settings.own(), download.members(), manifest, work.now);
		work.downloads.put(digest, download.withContent(content, present, work.now));
		work.add(new DistributionEffect.VersionKnown(download.version(), manifest));
		releaseUnneeded(work);
		checkFit(work, digest);
	}

	private static void checkFit(Work work, Digest digest) {
		Download download = work.downloads.get(digest);
		long needed = neededBytes(work, digest);
		boolean refused = needed > work.settings.memoryBytes();
		work.downloads.put(digest, download.withRefused(refused));
		if (refused && !download.refused()) {
			work.add(new DistributionEffect.VersionRefused(download.version().id(), needed,
					work.settings.memoryBytes()));
		}
		if (!refused) {
			releaseForSpace(work, needed);
			TransferSteps.reportWhole(work, work.downloads.get(digest));
		}
	}

	private static void recheckRefused(Work work) {
		for (Digest digest : List.copyOf(work.downloads.keySet())) {
			if (work.downloads.get(digest).refused()) {
				checkFit(work, digest);
			}
		}
	}

	private static long neededBytes(Work work, Digest digest) {
		Map<Digest, Long> pages = new HashMap<>();
		work.downloads.forEach((other, download) -> {
			if (download.content() != null && (other.equals(digest) || !download.refused())) {
				Manifest manifest = download.content().manifest();
				for (int i = 0; i < manifest.chunks().size(); i++) {
					pages.put(manifest.chunks().get(i), work.pagesOf(manifest, i));
				}
			}
		});
		long sum = 0;
		for (long count : pages.values()) {
			sum += count;
		}
		return sum * work.settings.pageBytes();
	}

	/**
	 * Frees chunks that no wanted version lists, once every manifest is known: until then
	 * a new version may still turn out to share them.
	 * @param work the state
	 */
	private static void releaseUnneeded(Work work) {
		for (Download download : work.downloads.values()) {
			if (download.content() == null) {
				return;
			}
		}
		release(work);
	}

	private static void releaseForSpace(Work work, long needed) {
		long held = 0;
		for (Map.Entry<Digest, Integer> entry : work.held().entrySet()) {
			held += work.isNeeded(entry.getKey()) ? 0 : entry.getValue() + work.settings.pageBytes();
		}
		if (needed + held > work.settings.memoryBytes()) {
			release(work);
		}
	}

	private static void release(Work work) {
		for (Digest chunk : List.copyOf(work.held().keySet())) {
			if (!work.isNeeded(chunk)) {
				work.changeHeld().remove(chunk);
				work.add(new DistributionEffect.ReleaseChunk(chunk));
			}
		}
	}

}
