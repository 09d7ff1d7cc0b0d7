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
 * A handler of events that change which versions are wanted on this instance. It also
 * checks whether these versions fit into the memory. Stateless and safe for use by any
 * thread.
 */
final class VersionEventHandler {

	private VersionEventHandler() {
	}

	static void handleFleetChanged(MutableDistributionState state, FleetSnapshot fleet) {
		Map<Digest, WeightsVersion> wanted = new TreeMap<>();
		for (WeightsVersion version : fleet.configuration().versions().values()) {
			if (VersionSelection.isSelected(fleet.configuration(), version, state.settings.labels())) {
				wanted.put(version.manifestDigest(), version);
			}
		}
		dropUnwanted(state, wanted.keySet());
		wanted.forEach((digest, version) -> addOrUpdateDownload(state, fleet, version));
		releaseUnneededOnceManifestsKnown(state);
		recheckRejected(state);
		Set<InstanceId> neighbours = new TreeSet<>();
		state.downloads.values().forEach((download) -> neighbours.addAll(download.neighbours()));
		state.add(new DistributionEffect.ConnectNeighbours(neighbours));
	}

	private static void dropUnwanted(MutableDistributionState state, Set<Digest> wanted) {
		List<Digest> dropped = new ArrayList<>(state.downloads.keySet());
		dropped.removeAll(wanted);
		for (Digest digest : dropped) {
			Download download = state.downloads.remove(digest);
			List<Digest> chunks = new ArrayList<>();
			state.transfers.forEach((chunk, transfer) -> {
				if (transfer.manifest().equals(digest) && !transfer.isComplete()) {
					chunks.add(chunk);
				}
			});
			chunks.forEach(state::abandonTransfer);
			state.add(new DistributionEffect.VersionDropped(download.version()));
		}
	}

	private static void addOrUpdateDownload(MutableDistributionState state, FleetSnapshot fleet,
			WeightsVersion version) {
		List<InstanceLocation> members = members(state, fleet, version);
		Download present = state.downloads.get(version.manifestDigest());
		if (present != null && present.members().equals(members)) {
			state.downloads.put(version.manifestDigest(), present.withVersion(version));
			reportIfChanged(state, present, version);
			return;
		}
		Set<InstanceId> neighbours = Neighbours.of(state.settings.own(), members);
		Download changed = (present != null)
				? present.withVersion(version).withMembers(state.settings.own(), members, neighbours)
				: Download.of(version, members, neighbours);
		state.downloads.put(version.manifestDigest(), changed);
	}

	private static void reportIfChanged(MutableDistributionState state, Download present, WeightsVersion version) {
		if (present.manifestData() != null && !present.version().equals(version)) {
			state.add(new DistributionEffect.VersionKnown(version, present.manifestData().manifest()));
			TransferEventHandler.reportIfComplete(state, present.withVersion(version));
		}
	}

	private static List<InstanceLocation> members(MutableDistributionState state, FleetSnapshot fleet,
			WeightsVersion version) {
		Map<InstanceId, InstanceLocation> members = new TreeMap<>();
		for (AgentView agent : fleet.agents().values()) {
			InstanceRecord instance = agent.instance();
			boolean leaving = agent.draining() || instance.leaving();
			if (!leaving && VersionSelection.isSelected(fleet.configuration(), version, instance.labels())) {
				members.put(instance.id(),
						new InstanceLocation(instance.id(), instance.dataCentre(), instance.region()));
			}
		}
		members.put(state.settings.own().instance(), state.settings.own());
		return List.copyOf(members.values());
	}

	static void handleManifestArrived(MutableDistributionState state, Digest digest, Manifest manifest) {
		Download download = state.downloads.get(digest);
		if (download == null || download.manifestData() != null) {
			return;
		}
		ChunkSet present = ChunkSet.empty();
		for (int i = 0; i < manifest.chunks().size(); i++) {
			if (state.held().containsKey(manifest.chunks().get(i))) {
				present = present.with(i);
			}
		}
		Download.ManifestData manifestData = Download.ManifestData.of(state.settings.own(), download.members(),
				manifest, state.now);
		state.downloads.put(digest, download.withManifestData(manifestData, present, state.now));
		state.add(new DistributionEffect.VersionKnown(download.version(), manifest));
		releaseUnneededOnceManifestsKnown(state);
		updateRejected(state, digest);
	}

	private static void updateRejected(MutableDistributionState state, Digest digest) {
		Download download = state.downloads.get(digest);
		long needed = neededBytes(state, digest);
		boolean rejected = needed > state.settings.memoryBytes();
		state.downloads.put(digest, download.withRejected(rejected));
		if (rejected && !download.rejected()) {
			state.add(new DistributionEffect.VersionRejected(download.version().id(), needed,
					state.settings.memoryBytes()));
		}
		if (!rejected) {
			releaseUnneededIfSpaceIsShort(state, needed);
			TransferEventHandler.reportIfComplete(state, state.downloads.get(digest));
		}
	}

	private static void recheckRejected(MutableDistributionState state) {
		for (Digest digest : List.copyOf(state.downloads.keySet())) {
			if (state.downloads.get(digest).rejected()) {
				updateRejected(state, digest);
			}
		}
	}

	private static long neededBytes(MutableDistributionState state, Digest digest) {
		Map<Digest, Long> pagesByChunk = new HashMap<>();
		state.downloads.forEach((manifestDigest, download) -> {
			if (download.manifestData() != null && (manifestDigest.equals(digest) || !download.rejected())) {
				Manifest manifest = download.manifestData().manifest();
				for (int i = 0; i < manifest.chunks().size(); i++) {
					pagesByChunk.put(manifest.chunks().get(i), state.pageCount(manifest, i));
				}
			}
		});
		long sum = 0;
		for (long count : pagesByChunk.values()) {
			sum += count;
		}
		return sum * state.settings.pageBytes();
	}

	/**
	 * Releases the chunks that no wanted version lists, once all manifests are known. A
	 * version whose manifest is still missing may share them.
	 * @param state the state to change
	 */
	private static void releaseUnneededOnceManifestsKnown(MutableDistributionState state) {
		for (Download download : state.downloads.values()) {
			if (download.manifestData() == null) {
				return;
			}
		}
		releaseUnneeded(state);
	}

	private static void releaseUnneededIfSpaceIsShort(MutableDistributionState state, long needed) {
		long held = 0;
		for (Map.Entry<Digest, Integer> entry : state.held().entrySet()) {
			held += state.isNeeded(entry.getKey()) ? 0 : entry.getValue() + state.settings.pageBytes();
		}
		if (needed + held > state.settings.memoryBytes()) {
			releaseUnneeded(state);
		}
	}

	private static void releaseUnneeded(MutableDistributionState state) {
		for (Digest chunk : List.copyOf(state.held().keySet())) {
			if (!state.isNeeded(chunk)) {
				state.mutableHeld().remove(chunk);
				state.add(new DistributionEffect.ReleaseChunk(chunk));
			}
		}
	}

}
