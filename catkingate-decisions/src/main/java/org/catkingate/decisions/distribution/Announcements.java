package org.catkingate.decisions.distribution;

import java.util.Map;
import java.util.TreeMap;

import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;

/**
 * The exchange of announcements with neighbours: each announcement lists the chunks that
 * an agent holds. Stateless and safe for use by any thread.
 */
final class Announcements {

	private Announcements() {
	}

	static void send(ReductionContext context) {
		context.downloads
			.replaceAll((digest, download) -> isDue(context, download) ? send(context, digest, download) : download);
	}

	private static boolean isDue(ReductionContext context, Download download) {
		return download.isActive() && !download.held().equals(download.announced())
				&& context.now - download.announcedAtMillis() >= Limits.MIN_ANNOUNCE_INTERVAL_MILLIS;
	}

	private static Download send(ReductionContext context, Digest digest, Download download) {
		for (InstanceId peer : download.neighbours()) {
			context.add(new DistributionEffect.Announce(peer, digest, download.held()));
		}
		return download.withAnnounced(download.held(), context.now);
	}

	static void handlePeerConnected(ReductionContext context, InstanceId peer) {
		context.downloads.forEach((digest, download) -> {
			if (download.isActive() && download.neighbours().contains(peer)) {
				context.add(new DistributionEffect.Announce(peer, digest, download.held()));
			}
		});
	}

	static void handleAnnouncement(ReductionContext context, DistributionEvent.PeerAnnounced event) {
		Download download = context.downloads.get(event.manifest());
		if (download == null
				|| download.members().stream().noneMatch((member) -> member.instance().equals(event.peer()))) {
			return;
		}
		context.downloads.put(event.manifest(),
				withAvailable(context, download.withPeer(event.peer(), event.chunks()), event));
		ManifestSearch.addHint(context, event.manifest(), event.peer());
	}

	private static Download withAvailable(ReductionContext context, Download download,
			DistributionEvent.PeerAnnounced event) {
		if (!download.isActive()) {
			return download;
		}
		Map<Integer, Long> available = new TreeMap<>(download.availableAt());
		for (int i = 0; i < download.content().manifest().chunks().size(); i++) {
			if (event.chunks().contains(i)) {
				available.putIfAbsent(i, context.now);
			}
		}
		return download.withPeers(download.peers(), available);
	}

}
