package org.catkingate.decisions.distribution;

import java.util.Map;
import java.util.TreeMap;

import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;

/**
 * Exchanges bitfields with neighbours. Stateless and safe for use by any thread.
 */
final class Announcements {

	private Announcements() {
	}

	static void send(Work work) {
		work.downloads
			.replaceAll((digest, download) -> isDue(work, download) ? send(work, digest, download) : download);
	}

	private static boolean isDue(Work work, Download download) {
		return download.isActive() && !download.held().equals(download.announced())
				&& work.now - download.announcedAtMillis() >= Limits.ANNOUNCE_MILLIS;
	}

	private static Download send(Work work, Digest digest, Download download) {
		for (InstanceId peer : download.neighbours()) {
			work.add(new DistributionEffect.Announce(peer, digest, download.held()));
		}
		return download.withAnnounced(download.held(), work.now);
	}

	static void opened(Work work, InstanceId peer) {
		work.downloads.forEach((digest, download) -> {
			if (download.isActive() && download.neighbours().contains(peer)) {
				work.add(new DistributionEffect.Announce(peer, digest, download.held()));
			}
		});
	}

	static void received(Work work, DistributionEvent.PeerAnnounced event) {
		Download download = work.downloads.get(event.manifest());
		if (download == null
				|| download.members().stream().noneMatch((member) -> member.instance().equals(event.peer()))) {
			return;
		}
		work.downloads.put(event.manifest(),
				withAvailable(work, download.withPeer(event.peer(), event.chunks()), event));
		ManifestSearch.hint(work, event.manifest(), event.peer());
	}

	private static Download withAvailable(Work work, Download download, DistributionEvent.PeerAnnounced event) {
		if (!download.isActive()) {
			return download;
		}
		Map<Integer, Long> available = new TreeMap<>(download.availableAt());
		for (int i = 0; i < download.content().manifest().chunks().size(); i++) {
			if (event.chunks().contains(i)) {
				available.putIfAbsent(i, work.now);
			}
		}
		return download.withPeers(download.peers(), available);
	}

}
