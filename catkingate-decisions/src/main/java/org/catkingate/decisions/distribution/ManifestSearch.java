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

	static void ask(Work work) {
		for (Digest digest : List.copyOf(work.downloads.keySet())) {
			Download download = work.downloads.get(digest);
			if (download.content() == null && work.now >= download.question().notBeforeMillis()) {
				ask(work, digest, download);
			}
		}
	}

	private static void ask(Work work, Digest digest, Download download) {
		Download.Question question = download.question();
		long next = work.now + Limits.MANIFEST_MILLIS;
		work.downloads.put(digest, download.withQuestion(new Download.Question(question.count() + 1, next, null)));
		Source source = source(work, digest, download, question);
		if (source != null) {
			work.add(new DistributionEffect.FetchManifest(source, download.version().id(), digest));
		}
	}

	private static Source source(Work work, Digest digest, Download download, Download.Question question) {
		if (question.hint() != null) {
			return new Source.Peer(question.hint());
		}
		List<InstanceId> peers = peers(work, digest, download);
		boolean first = peers.isEmpty() || question.count() >= Limits.MANIFEST_QUESTIONS_TO_PEERS;
		if (!first) {
			return new Source.Peer(peers.get(question.count() % peers.size()));
		}
		List<Source> published = published(work);
		return published.isEmpty() ? null : published.get(question.count() % published.size());
	}

	/**
	 * Whom to ask: nobody if this instance is the first in rank.
	 * @param work the state
	 * @param digest the digest of the manifest's bytes
	 * @param download the version
	 * @return the first in rank and the neighbours
	 */
	private static List<InstanceId> peers(Work work, Digest digest, Download download) {
		Member own = work.settings.own();
		List<Member> region = download.members()
			.stream()
			.filter((member) -> member.region().equals(own.region()))
			.toList();
		List<InstanceId> peers = new ArrayList<>();
		for (Member member : Rendezvous.rank(Rendezvous.hash(digest), region, Member::instance, Limits.RANKS)) {
			if (work.isSetAside(member.instance())) {
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

	private static List<Source> published(Work work) {
		List<Source> sources = new ArrayList<>();
		if (work.settings.origin()) {
			sources.add(new Source.Origin());
		}
		if (work.settings.store()) {
			sources.add(new Source.Store());
		}
		return sources;
	}

	static void failed(Work work, DistributionEvent.ManifestFailed event) {
		long wait = Math.max(Limits.MANIFEST_RETRY_MILLIS, event.retryAfterMillis());
		work.changeDownload(event.digest(), (download) -> download
			.withQuestion(new Download.Question(download.question().count(), work.now + wait, null)));
		if (event.corrupt() && event.source() instanceof Source.Peer) {
			work.changeSource(event.source(), (state) -> state.failed(work.now, Limits.CORRUPT_BACKOFF_MILLIS));
		}
	}

	static void hint(Work work, Digest digest, InstanceId peer) {
		work.changeDownload(digest, (download) -> (download.content() != null || download.question().hint() != null)
				? download : download.withQuestion(new Download.Question(download.question().count(), 0, peer)));
	}

}
