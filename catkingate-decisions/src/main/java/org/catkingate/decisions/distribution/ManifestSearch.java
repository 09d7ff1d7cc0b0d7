package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.List;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;

/**
 * The search for manifests. The first instance in rank of a region requests a manifest
 * from the origin or the store; the others request it from peers and do the same only
 * after {@link Limits#MAX_MANIFEST_REQUESTS_TO_PEERS} requests. Stateless and safe for
 * use by any thread.
 */
final class ManifestSearch {

	private ManifestSearch() {
	}

	static void requestMissing(MutableDistributionState state) {
		for (Digest digest : List.copyOf(state.downloads.keySet())) {
			Download download = state.downloads.get(digest);
			if (download.manifestData() == null && state.now >= download.manifestSearch().notBeforeMillis()) {
				request(state, digest, download);
			}
		}
	}

	private static void request(MutableDistributionState state, Digest digest, Download download) {
		Download.ManifestSearchState search = download.manifestSearch();
		long next = state.now + Limits.MANIFEST_TIMEOUT_MILLIS;
		state.downloads.put(digest,
				download.withManifestSearch(new Download.ManifestSearchState(search.requestCount() + 1, next, null)));
		Source source = chooseSource(state, digest, download, search);
		if (source != null) {
			state.add(new DistributionEffect.FetchManifest(source, download.version().id(), digest));
		}
	}

	private static Source chooseSource(MutableDistributionState state, Digest digest, Download download,
			Download.ManifestSearchState search) {
		if (search.hint() != null) {
			return new Source.Peer(search.hint());
		}
		List<InstanceId> peers = candidatePeers(state, digest, download);
		boolean useUpstream = peers.isEmpty() || search.requestCount() >= Limits.MAX_MANIFEST_REQUESTS_TO_PEERS;
		if (!useUpstream) {
			return new Source.Peer(peers.get(search.requestCount() % peers.size()));
		}
		List<Source> upstream = upstreamSources(state);
		return upstream.isEmpty() ? null : upstream.get(search.requestCount() % upstream.size());
	}

	/**
	 * Returns the peers from which a manifest may be requested.
	 * @param state the state in which the event is reduced
	 * @param digest the digest of the manifest's bytes
	 * @param download the version
	 * @return the first instance in rank and the neighbours; empty if this instance is
	 * the first in rank
	 */
	private static List<InstanceId> candidatePeers(MutableDistributionState state, Digest digest, Download download) {
		InstanceLocation own = state.settings.own();
		List<InstanceLocation> region = download.members()
			.stream()
			.filter((member) -> member.region().equals(own.region()))
			.toList();
		List<InstanceId> peers = new ArrayList<>();
		for (InstanceLocation member : RendezvousHashing.rank(RendezvousHashing.hash(digest), region,
				InstanceLocation::instance, Limits.MAX_RANKS)) {
			if (state.isSuspended(member.instance())) {
				continue;
			}
			if (member.equals(own)) {
				return List.of();
			}
			peers.add(member.instance());
			break;
		}
		download.neighbours().stream().filter((peer) -> !peers.contains(peer)).forEach(peers::add);
		return peers;
	}

	private static List<Source> upstreamSources(MutableDistributionState state) {
		List<Source> sources = new ArrayList<>();
		if (state.settings.originConfigured()) {
			sources.add(new Source.Origin());
		}
		if (state.settings.storeConfigured()) {
			sources.add(new Source.Store());
		}
		return sources;
	}

	static void handleFailure(MutableDistributionState state, DistributionEvent.ManifestFailed event) {
		long wait = Math.max(Limits.MIN_MANIFEST_RETRY_MILLIS, event.retryAfterMillis());
		state.updateDownload(event.digest(), (download) -> download.withManifestSearch(
				new Download.ManifestSearchState(download.manifestSearch().requestCount(), state.now + wait, null)));
		if (event.corrupt() && event.source() instanceof Source.Peer) {
			state.updateSource(event.source(),
					(current) -> current.withFailure(state.now, Limits.CORRUPT_BACKOFF_MILLIS));
		}
	}

	static void addHint(MutableDistributionState state, Digest digest, InstanceId peer) {
		state.updateDownload(digest,
				(download) -> (download.manifestData() != null || download.manifestSearch().hint() != null) ? download
						: download.withManifestSearch(
								new Download.ManifestSearchState(download.manifestSearch().requestCount(), 0, peer)));
	}

}
