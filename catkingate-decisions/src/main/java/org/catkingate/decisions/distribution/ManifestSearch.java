package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.List;

import org.catkingate.decisions.Rendezvous;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;

/**
 * Finds manifests: the first in rank of a region asks the store or the origin, the others
 * ask peers before they do so too. Stateless and safe for use by any thread.
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
		Download.ManifestLookup question = download.manifestLookup();
		long next = context.now + Limits.MANIFEST_TIMEOUT_MILLIS;
		context.downloads.put(digest,
				download.withManifestLookup(new Download.ManifestLookup(question.requestCount() + 1, next, null)));
		Source source = chooseSource(context, digest, download, question);
		if (source != null) {
			context.add(new DistributionEffect.FetchManifest(source, download.version().id(), digest));
		}
	}

	private static Source chooseSource(ReductionContext context, Digest digest, Download download,
			Download.ManifestLookup question) {
		if (question.hint() != null) {
			return new Source.Peer(question.hint());
		}
		List<InstanceId> peers = candidatePeers(context, digest, download);
		boolean first = peers.isEmpty() || question.requestCount() >= Limits.MAX_MANIFEST_REQUESTS_TO_PEERS;
		if (!first) {
			return new Source.Peer(peers.get(question.requestCount() % peers.size()));
		}
		List<Source> published = upstreamSources(context);
		return published.isEmpty() ? null : published.get(question.requestCount() % published.size());
	}

	/**
	 * Whom to ask: nobody if this instance is the first in rank.
	 * @param context the state
	 * @param digest the digest of the manifest's bytes
	 * @param download the version
	 * @return the first in rank and the neighbours
	 */
	private static List<InstanceId> candidatePeers(ReductionContext context, Digest digest, Download download) {
		Member own = context.settings.own();
		List<Member> region = download.members()
			.stream()
			.filter((member) -> member.region().equals(own.region()))
			.toList();
		List<InstanceId> peers = new ArrayList<>();
		for (Member member : Rendezvous.rank(Rendezvous.hash(digest), region, Member::instance, Limits.MAX_RANKS)) {
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
