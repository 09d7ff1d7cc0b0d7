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

	static void sendDue(MutableDistributionState state) {
		state.downloads
			.replaceAll((digest, download) -> isDue(state, download) ? send(state, digest, download) : download);
	}

	private static boolean isDue(MutableDistributionState state, Download download) {
		return download.isActive() && !download.held().equals(download.announced())
				&& state.now - download.announcedAtMillis() >= Limits.MIN_ANNOUNCE_INTERVAL_MILLIS;
	}

	private static Download send(MutableDistributionState state, Digest digest, Download download) {
		for (InstanceId peer : download.neighbours()) {
			state.add(new DistributionEffect.Announce(peer, digest, download.held()));
		}
		return download.withAnnounced(download.held(), state.now);
	}

	static void handlePeerConnected(MutableDistributionState state, InstanceId peer) {
		state.downloads.forEach((digest, download) -> {
			if (download.isActive() && download.neighbours().contains(peer)) {
				state.add(new DistributionEffect.Announce(peer, digest, download.held()));
			}
		});
	}

	static void handleAnnouncement(MutableDistributionState state, DistributionEvent.PeerAnnounced event) {
		Download download = state.downloads.get(event.manifest());
		if (download == null
				|| download.members().stream().noneMatch((member) -> member.instance().equals(event.peer()))) {
			return;
		}
		state.downloads.put(event.manifest(),
				withAvailability(state, download.withChunksOfPeer(event.peer(), event.chunks()), event));
		ManifestSearch.addHint(state, event.manifest(), event.peer());
	}

	private static Download withAvailability(MutableDistributionState state, Download download,
			DistributionEvent.PeerAnnounced event) {
		if (!download.isActive()) {
			return download;
		}
		Map<Integer, Long> availableAtMillis = new TreeMap<>(download.availableAtMillis());
		for (int i = 0; i < download.manifestData().manifest().chunks().size(); i++) {
			if (event.chunks().contains(i)) {
				availableAtMillis.putIfAbsent(i, state.now);
			}
		}
		return download.withChunksByPeer(download.chunksByPeer(), availableAtMillis);
	}

}
