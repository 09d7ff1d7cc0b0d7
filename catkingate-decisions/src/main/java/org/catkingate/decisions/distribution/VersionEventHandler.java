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
 * The handling of events that change which versions are wanted on this instance, and the
 * check whether these fit into the memory. Stateless and safe for use by any thread.
 */
final class VersionEventHandler {

	private VersionEventHandler() {
	}

	static void handleFleetChanged(ReductionContext context, FleetSnapshot fleet) {
		Map<Digest, WeightsVersion> wanted = new TreeMap<>();
		for (WeightsVersion version : fleet.configuration().versions().values()) {
			if (VersionSelection.isSelected(fleet.configuration(), version, context.settings.labels())) {
				wanted.put(version.manifestDigest(), version);
			}
		}
		dropUnwanted(context, wanted.keySet());
		wanted.forEach((digest, version) -> addOrUpdate(context, fleet, version));
		releaseUnneeded(context);
		recheckRejected(context);
		Set<InstanceId> neighbours = new TreeSet<>();
		context.downloads.values().forEach((download) -> neighbours.addAll(download.neighbours()));
		context.add(new DistributionEffect.ConnectNeighbours(neighbours));
	}

	private static void dropUnwanted(ReductionContext context, Set<Digest> wanted) {
		List<Digest> dropped = new ArrayList<>(context.downloads.keySet());
		dropped.removeAll(wanted);
		for (Digest digest : dropped) {
			Download download = context.downloads.remove(digest);
			List<Digest> chunks = new ArrayList<>();
			context.transfers.forEach((chunk, transfer) -> {
				if (transfer.manifest().equals(digest) && !transfer.isComplete()) {
					chunks.add(chunk);
				}
			});
			chunks.forEach(context::abandon);
			context.add(new DistributionEffect.VersionDropped(download.version()));
		}
	}

	private static void addOrUpdate(ReductionContext context, FleetSnapshot fleet, WeightsVersion version) {
		List<InstanceLocation> members = members(context, fleet, version);
		Download present = context.downloads.get(version.manifestDigest());
		if (present != null && present.members().equals(members)) {
			context.downloads.put(version.manifestDigest(), present.withVersion(version));
			reportIfChanged(context, present, version);
			return;
		}
		Set<InstanceId> neighbours = Neighbours.of(context.settings.own(), members);
		Download changed = (present != null)
				? present.withVersion(version).withMembers(context.settings.own(), members, neighbours)
				: Download.of(version, members, neighbours);
		context.downloads.put(version.manifestDigest(), changed);
	}

	private static void reportIfChanged(ReductionContext context, Download present, WeightsVersion version) {
		if (present.content() != null && !present.version().equals(version)) {
			context.add(new DistributionEffect.VersionKnown(version, present.content().manifest()));
			TransferEventHandler.reportIfComplete(context, present.withVersion(version));
		}
	}

	private static List<InstanceLocation> members(ReductionContext context, FleetSnapshot fleet,
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
		members.put(context.settings.own().instance(), context.settings.own());
		return List.copyOf(members.values());
	}

	static void handleManifestArrived(ReductionContext context, Digest digest, Manifest manifest) {
		Download download = context.downloads.get(digest);
		if (download == null || download.content() != null) {
			return;
		}
		ChunkSet present = ChunkSet.empty();
		for (int i = 0; i < manifest.chunks().size(); i++) {
			if (context.held().containsKey(manifest.chunks().get(i))) {
				present = present.with(i);
			}
		}
		Download.Content content = Download.Content.of(context.settings.own(), download.members(), manifest,
				context.now);
		context.downloads.put(digest, download.withContent(content, present, context.now));
		context.add(new DistributionEffect.VersionKnown(download.version(), manifest));
		releaseUnneeded(context);
		checkFit(context, digest);
	}

	private static void checkFit(ReductionContext context, Digest digest) {
		Download download = context.downloads.get(digest);
		long needed = neededBytes(context, digest);
		boolean rejected = needed > context.settings.memoryBytes();
		context.downloads.put(digest, download.withRejected(rejected));
		if (rejected && !download.rejected()) {
			context.add(new DistributionEffect.VersionRejected(download.version().id(), needed,
					context.settings.memoryBytes()));
		}
		if (!rejected) {
			releaseForSpace(context, needed);
			TransferEventHandler.reportIfComplete(context, context.downloads.get(digest));
		}
	}

	private static void recheckRejected(ReductionContext context) {
		for (Digest digest : List.copyOf(context.downloads.keySet())) {
			if (context.downloads.get(digest).rejected()) {
				checkFit(context, digest);
			}
		}
	}

	private static long neededBytes(ReductionContext context, Digest digest) {
		Map<Digest, Long> pages = new HashMap<>();
		context.downloads.forEach((other, download) -> {
			if (download.content() != null && (other.equals(digest) || !download.rejected())) {
				Manifest manifest = download.content().manifest();
				for (int i = 0; i < manifest.chunks().size(); i++) {
					pages.put(manifest.chunks().get(i), context.pageCount(manifest, i));
				}
			}
		});
		long sum = 0;
		for (long count : pages.values()) {
			sum += count;
		}
		return sum * context.settings.pageBytes();
	}

	/**
	 * Releases the chunks that no wanted version lists, once all manifests are known. A
	 * version whose manifest is still missing may share them.
	 * @param context the context of the reduction
	 */
	private static void releaseUnneeded(ReductionContext context) {
		for (Download download : context.downloads.values()) {
			if (download.content() == null) {
				return;
			}
		}
		release(context);
	}

	private static void releaseForSpace(ReductionContext context, long needed) {
		long held = 0;
		for (Map.Entry<Digest, Integer> entry : context.held().entrySet()) {
			held += context.isNeeded(entry.getKey()) ? 0 : entry.getValue() + context.settings.pageBytes();
		}
		if (needed + held > context.settings.memoryBytes()) {
			release(context);
		}
	}

	private static void release(ReductionContext context) {
		for (Digest chunk : List.copyOf(context.held().keySet())) {
			if (!context.isNeeded(chunk)) {
				context.mutableHeld().remove(chunk);
				context.add(new DistributionEffect.ReleaseChunk(chunk));
			}
		}
	}

}
