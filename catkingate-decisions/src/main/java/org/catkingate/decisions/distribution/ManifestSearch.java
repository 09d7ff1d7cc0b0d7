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

	static void request(ReductionContext context) {
		for (Digest digest : List.copyOf(context.downloads.keySet())) {
			Download download = context.downloads.get(digest);
			if (download.content() == null && context.now >= download.manifestLookup().notBeforeMillis()) {
				request(context, digest, download);
			}
		}
	}

	private static void request(ReductionContext context, Digest digest, Download download) {
		Download.ManifestLookup lookup = download.manifestLookup();
		long next = context.now + Limits.MANIFEST_TIMEOUT_MILLIS;
		context.downloads.put(digest,
				download.withManifestLookup(new Download.ManifestLookup(lookup.requestCount() + 1, next, null)));
		Source source = chooseSource(context, digest, download, lookup);
		if (source != null) {
			context.add(new DistributionEffect.FetchManifest(source, download.version().id(), digest));
		}
	}

	private static Source chooseSource(ReductionContext context, Digest digest, Download download,
			Download.ManifestLookup lookup) {
		if (lookup.hint() != null) {
			return new Source.Peer(lookup.hint());
		}
		List<InstanceId> peers = candidatePeers(context, digest, download);
		boolean useUpstream = peers.isEmpty() || lookup.requestCount() >= Limits.MAX_MANIFEST_REQUESTS_TO_PEERS;
		if (!useUpstream) {
			return new Source.Peer(peers.get(lookup.requestCount() % peers.size()));
		}
		List<Source> upstream = upstreamSources(context);
		return upstream.isEmpty() ? null : upstream.get(lookup.requestCount() % upstream.size());
	}

	/**
	 * Returns the peers from which a manifest may be requested.
	 * @param context the context of the reduction
	 * @param digest the digest of the manifest's bytes
	 * @param download the version
	 * @return the first instance in rank and the neighbours; empty if this instance is
	 * the first in rank
	 */
	private static List<InstanceId> candidatePeers(ReductionContext context, Digest digest, Download download) {
		InstanceLocation own = context.settings.own();
		List<InstanceLocation> region = download.members()
			.stream()
			.filter((member) -> member.region().equals(own.region()))
			.toList();
		List<InstanceId> peers = new ArrayList<>();
		for (InstanceLocation member : RendezvousHashing.rank(RendezvousHashing.hash(digest), region,
				InstanceLocation::instance, Limits.MAX_RANKS)) {
			if (context.isSuspended(member.instance())) {
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

	private static List<Source> upstreamSources(ReductionContext context) {
		List<Source> sources = new ArrayList<>();
		if (context.settings.origin()) {
			sources.add(new Source.Origin());
		}
		if (context.settings.store()) {
			sources.add(new Source.Store());
		}
		return sources;
	}

	static void handleFailure(ReductionContext context, DistributionEvent.ManifestFailed event) {
		long wait = Math.max(Limits.MANIFEST_RETRY_MILLIS, event.retryAfterMillis());
		context.updateDownload(event.digest(), (download) -> download.withManifestLookup(
				new Download.ManifestLookup(download.manifestLookup().requestCount(), context.now + wait, null)));
		if (event.corrupt() && event.source() instanceof Source.Peer) {
			context.updateSource(event.source(),
					(state) -> state.withFailure(context.now, Limits.CORRUPT_BACKOFF_MILLIS));
		}
	}

	static void addHint(ReductionContext context, Digest digest, InstanceId peer) {
		context.updateDownload(digest,
				(download) -> (download.content() != null || download.manifestLookup().hint() != null) ? download
						: download.withManifestLookup(
								new Download.ManifestLookup(download.manifestLookup().requestCount(), 0, peer)));
	}

}
