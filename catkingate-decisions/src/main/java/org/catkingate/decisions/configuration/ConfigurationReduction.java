package org.catkingate.decisions.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.decisions.reading.ReadSchedule;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.model.published.ConfigurationBundle;
import org.catkingate.model.published.ConfigurationHead;

/**
 * A reduction in progress: a mutable copy of the state to which one event is applied. Not
 * thread-safe.
 */
final class ConfigurationReduction {

	// the backoff reaches its upper bound before this shift; larger shifts could overflow
	private static final int MAX_BACKOFF_SHIFT = 8;

	private final long nowMillis;

	private final long seed;

	private final List<Effect> effects = new ArrayList<>();

	private final Map<Digest, byte[]> parts;

	private final SortedMap<Long, PeerVersion> peerVersions;

	private final List<Rejection> rejections;

	private ValidatedConfiguration inForce;

	private ValidatedConfiguration candidate;

	private StartupProgress startup;

	private ConfigurationDownload download;

	private PendingPull pendingPull;

	private long pullCount;

	private ReadSchedule headReads;

	private long lowerVersionReads;

	private long windowStartedAtMillis;

	private int sentInWindow;

	ConfigurationReduction(ConfigurationState state, long nowMillis) {
		this.nowMillis = nowMillis;
		this.seed = state.seed();
		this.parts = new HashMap<>(state.parts());
		this.peerVersions = new TreeMap<>(state.peerVersions());
		this.rejections = new ArrayList<>(state.rejections());
		this.inForce = state.inForce();
		this.candidate = state.candidate();
		this.startup = state.startup();
		this.download = state.download();
		this.pendingPull = state.pendingPull();
		this.pullCount = state.pullCount();
		this.headReads = state.headReads();
		this.lowerVersionReads = state.lowerVersionReads();
		this.windowStartedAtMillis = state.windowStartedAtMillis();
		this.sentInWindow = state.sentInWindow();
	}

	ReductionResult<ConfigurationState> toResult() {
		ConfigurationState state = new ConfigurationState(this.seed, this.inForce, this.candidate, this.startup,
				this.parts, this.peerVersions, this.download, this.pendingPull, this.pullCount, this.rejections,
				this.headReads, this.lowerVersionReads, this.windowStartedAtMillis, this.sentInWindow);
		return new ReductionResult<>(state, this.effects);
	}

	void onTick() {
		if (this.headReads.isOverdue(this.nowMillis)) {
			this.headReads = this.headReads.withFailure(this.nowMillis);
		}
		if (this.headReads.isDue(this.nowMillis)) {
			this.effects.add(new ConfigurationEffect.ReadHead(this.headReads.index(), this.headReads.waitMillis()));
			this.headReads = this.headReads.withReadStarted(this.nowMillis);
		}
		if (this.download != null) {
			Map<Digest, Long> pendingReads = this.download.pendingReads();
			pendingReads.forEach((part, timeoutAtMillis) -> {
				if (this.nowMillis >= timeoutAtMillis) {
					onPartFailed(part, "the service did not respond in time");
				}
			});
		}
	}

	void onReadPaceChanged(ConfigurationEvent.ReadPaceChanged change) {
		this.headReads = this.headReads.withPace(this.nowMillis, change.pace(), change.fleetSize());
	}

	void onContactsChanged(ConfigurationEvent.ContactsChanged contacts) {
		this.startup = this.startup.withContacts(contacts.complete(), contacts.connections());
	}

	void onHeadRead(long index, byte[] bytes) {
		try {
			ConfigurationHead parsed = ConfigurationHead.parse(bytes);
			this.headReads = this.headReads.withResponse(this.nowMillis, index);
			if (isLowerThanHeld(parsed.version())) {
				this.lowerVersionReads++;
			}
			if (isWanted(parsed.version())
					&& (this.download == null || parsed.version().isHigherThan(this.download.version()))) {
				this.download = ConfigurationDownload.of(bytes, parsed, this.nowMillis);
			}
		}
		catch (InvalidConfigurationException ex) {
			// keeps the index, so that the next read returns the head again
			this.headReads = this.headReads.withFailure(this.nowMillis);
			reject(new Rejection(ConfigurationVersion.none(), Digest.of(bytes), ex.problems()));
		}
	}

	private boolean isLowerThanHeld(ConfigurationVersion version) {
		return highestHeldVersion().isHigherThan(version);
	}

	private ConfigurationVersion highestHeldVersion() {
		ConfigurationVersion highest = (this.inForce != null) ? this.inForce.version() : ConfigurationVersion.none();
		return (this.candidate != null && this.candidate.version().isHigherThan(highest)) ? this.candidate.version()
				: highest;
	}

	private boolean isWanted(ConfigurationVersion version) {
		return version.isHigherThan(highestHeldVersion())
				&& this.rejections.stream().noneMatch((rejection) -> rejection.version().equals(version));
	}

	void onHeadUnchanged() {
		this.headReads = this.headReads.withResponse(this.nowMillis, this.headReads.index());
	}

	void onHeadFailed() {
		this.headReads = this.headReads.withFailure(this.nowMillis);
	}

	void onPartRead(Digest part, byte[] bytes) {
		if (this.download == null || !this.download.parsedHead().parts().contains(part)) {
			return;
		}
		if (!Digest.of(bytes).equals(part)) {
			onPartFailed(part, "the bytes do not match the digest");
			return;
		}
		this.parts.put(part, bytes);
		this.download = this.download.withPartRead(part);
	}

	void onPartFailed(Digest part, String reason) {
		if (this.download != null && this.download.parsedHead().parts().contains(part)) {
			long delay = ConfigurationTimes.INITIAL_BACKOFF_MILLIS << Math.min(MAX_BACKOFF_SHIFT,
					this.download.failures());
			long boundedDelay = Math.min(ConfigurationTimes.MAX_BACKOFF_MILLIS, delay);
			double jitter = RendezvousHashing.uniform(this.seed + this.download.failures());
			this.download = this.download.withFailedRead(part, reason,
					this.nowMillis + Math.round(boundedDelay * (0.5 + jitter)));
		}
	}

	void onVersionOffered(ConfigurationEvent.VersionOffered offered) {
		this.peerVersions.put(offered.connection(),
				new PeerVersion(offered.connection(), offered.distance(), offered.version(), 0));
	}

	void onPeerDisconnected(long connection) {
		this.peerVersions.remove(connection);
		if (this.pendingPull != null && this.pendingPull.connection() == connection) {
			this.pendingPull = null;
		}
	}

	void onVersionRequested(ConfigurationEvent.VersionRequested request) {
		if (this.inForce == null || request.version().isHigherThan(this.inForce.version())) {
			return;
		}
		if (this.nowMillis - this.windowStartedAtMillis >= ConfigurationTimes.SEND_WINDOW_MILLIS) {
			this.windowStartedAtMillis = this.nowMillis;
			this.sentInWindow = 0;
		}
		if (this.sentInWindow < ConfigurationTimes.MAX_SENDS_PER_WINDOW) {
			this.sentInWindow++;
			this.effects
				.add(new ConfigurationEffect.SendVersion(request.connection(), this.inForce.bundle(), request.held()));
		}
	}

	void onVersionReceived(ConfigurationEvent.VersionReceived received) {
		if (this.pendingPull != null && this.pendingPull.connection() == received.connection()) {
			this.pendingPull = null;
		}
		try {
			ConfigurationHead parsed = ConfigurationHead.parse(received.head());
			if (!isWanted(parsed.version())) {
				return;
			}
			for (byte[] part : received.parts()) {
				Digest digest = Digest.of(part);
				if (parsed.parts().contains(digest)) {
					this.parts.put(digest, part);
				}
			}
			// one message may not hold all parts; the missing ones are then pulled next
			if (this.parts.keySet().containsAll(parsed.parts())) {
				validateAndAdopt(received.head(), parsed.version());
			}
		}
		catch (InvalidConfigurationException ex) {
			reject(new Rejection(ConfigurationVersion.none(), Digest.of(received.head()), ex.problems()));
		}
	}

	void performDueActions() {
		completeDownload();
		finishStartup();
		readMissingParts();
		pullFromPeer();
	}

	private void completeDownload() {
		if (this.download != null && !isWanted(this.download.version())) {
			this.download = null;
		}
		if (this.download != null && this.parts.keySet().containsAll(this.download.parsedHead().parts())) {
			validateAndAdopt(this.download.head(), this.download.version());
			this.download = null;
		}
	}

	private void validateAndAdopt(byte[] headBytes, ConfigurationVersion version) {
		try {
			ConfigurationBundle bundle = ConfigurationBundle.assemble(headBytes, this.parts);
			ValidatedConfiguration validated = new ValidatedConfiguration(bundle, bundle.parse());
			if (this.startup.finished()) {
				adopt(validated);
			}
			else {
				this.candidate = validated;
			}
			discardUnusedParts(bundle);
		}
		catch (InvalidConfigurationException ex) {
			reject(new Rejection(version, version.digest(), ex.problems()));
		}
	}

	private void adopt(ValidatedConfiguration validated) {
		this.inForce = validated;
		this.candidate = null;
		this.effects.add(new ConfigurationEffect.Adopted(validated.configuration()));
	}

	private void discardUnusedParts(ConfigurationBundle bundle) {
		this.parts.keySet()
			.removeIf((digest) -> !bundle.parts().containsKey(digest)
					&& (this.download == null || !this.download.parsedHead().parts().contains(digest)));
	}

	private void reject(Rejection rejection) {
		if (this.rejections.stream().anyMatch((earlier) -> earlier.headDigest().equals(rejection.headDigest()))) {
			return;
		}
		this.rejections.add(rejection);
		if (this.rejections.size() > ConfigurationTimes.MAX_REJECTIONS) {
			this.rejections.remove(0);
		}
		this.effects.add(new ConfigurationEffect.Rejected(rejection));
	}

	private void finishStartup() {
		if (this.startup.finished() || !hasQueriedEnoughPeers()) {
			return;
		}
		this.startup = this.startup.withFinished();
		this.effects.add(new ConfigurationEffect.PeersQueried(this.peerVersions.size()));
		if (this.candidate != null) {
			adopt(this.candidate);
		}
	}

	// A new process must not serve a lower version than its peers have, which the
	// configuration service may return while it is stale. It therefore waits for the
	// versions of its peers, and longer while one of them offers a higher version.
	private boolean hasQueriedEnoughPeers() {
		long waitedMillis = this.nowMillis - this.startup.startedAtMillis();
		if (waitedMillis >= ConfigurationTimes.MAX_PEER_QUERY_MILLIS) {
			return true;
		}
		boolean isHigherVersionOffered = this.peerVersions.values()
			.stream()
			.anyMatch((peer) -> isWanted(peer.version()));
		if (isHigherVersionOffered) {
			return false;
		}
		long peersWithVersion = this.peerVersions.values()
			.stream()
			.filter((peer) -> peer.version().isHigherThan(ConfigurationVersion.none()))
			.count();
		return waitedMillis >= ConfigurationTimes.PEER_QUERY_MILLIS
				|| peersWithVersion >= ConfigurationTimes.SUFFICIENT_PEER_RESPONSES
				|| this.startup.hasResponsesFromAll(this.peerVersions.keySet());
	}

	private void readMissingParts() {
		if (this.download == null || this.nowMillis < this.download.nextReadAtMillis()) {
			return;
		}
		for (Digest part : this.download.parsedHead().parts()) {
			if (!this.parts.containsKey(part) && !this.download.pendingReads().containsKey(part)) {
				this.download = this.download.withPendingRead(part,
						this.nowMillis + ConfigurationTimes.PART_READ_TIMEOUT_MILLIS);
				this.effects.add(new ConfigurationEffect.ReadPart(part));
			}
		}
	}

	private void pullFromPeer() {
		if (this.pendingPull != null && this.nowMillis >= this.pendingPull.timeoutAtMillis()) {
			this.peerVersions.computeIfPresent(this.pendingPull.connection(),
					(connection, peer) -> peer.withFailedPull());
			this.pendingPull = null;
		}
		if (this.pendingPull == null) {
			bestPeer().ifPresent(this::pullFromPeer);
		}
	}

	private Optional<PeerVersion> bestPeer() {
		Comparator<PeerVersion> preference = Comparator.comparing(PeerVersion::version)
			.reversed()
			.thenComparingInt(PeerVersion::failedPulls)
			.thenComparingInt(PeerVersion::distance)
			.thenComparingLong((peer) -> RendezvousHashing.mix(this.seed + this.pullCount + peer.connection()));
		return this.peerVersions.values().stream().filter((peer) -> isWanted(peer.version())).min(preference);
	}

	private void pullFromPeer(PeerVersion peer) {
		this.pullCount++;
		this.pendingPull = new PendingPull(peer.connection(), peer.version(),
				this.nowMillis + ConfigurationTimes.PULL_TIMEOUT_MILLIS);
		List<Digest> held = this.parts.keySet().stream().sorted().toList();
		this.effects.add(new ConfigurationEffect.PullVersion(peer.connection(), peer.version(), held));
	}

}
