package org.catkingate.agent.weights;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.distribution.DistributionEffect;
import org.catkingate.decisions.distribution.DistributionEvent;
import org.catkingate.decisions.distribution.Source;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.VersionId;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerConnections;
import org.catkingate.wire.Message;
import org.catkingate.wire.WeightsMessage;

/**
 * Executor of the effects of the distribution, which submits their results as events.
 * Safe for use by any thread; nothing blocks except the computation of digests, which has
 * its own thread.
 */
final class DistributionEffectExecutor {

	private static final Logger logger = LoggerFactory.getLogger(DistributionEffectExecutor.class);

	private static final long RETRY_WHILE_CONNECTING_MILLIS = 300;

	private static final long CONNECT_TIMEOUT_MILLIS = 3000;

	private final ChunkMemory memory;

	private final Map<Source, WeightSource> publishedSources;

	private final PeerConnections peers;

	private final PeerConnector connector;

	private final OutstandingSlices outstanding;

	private final ScheduledExecutorService timer;

	private final ExecutorService digestExecutor;

	private final MonotonicClock clock;

	private final Consumer<Event> events;

	private final Map<Digest, Source> expectedSources = new ConcurrentHashMap<>();

	private final Map<Digest, byte[]> manifests = new ConcurrentHashMap<>();

	private final Map<Digest, VersionId> wantedVersions = new ConcurrentHashMap<>();

	private final Map<InstanceId, Long> connectingSince = new ConcurrentHashMap<>();

	private final AtomicLong arrivedBytes = new AtomicLong();

	DistributionEffectExecutor(WeightsDependencies dependencies, ChunkMemory memory, Consumer<Event> events) {
		this.memory = memory;
		this.publishedSources = dependencies.publishedSources();
		this.peers = dependencies.peers();
		this.connector = dependencies.connector();
		this.outstanding = new OutstandingSlices(dependencies.downloadRateLimit());
		this.timer = dependencies.timer();
		this.digestExecutor = dependencies.digestExecutor();
		this.clock = dependencies.clock();
		this.events = events;
	}

	void execute(DistributionEffect effect) {
		if (effect instanceof DistributionEffect.RequestSlice request) {
			scheduleRequest(request);
		}
		else if (effect instanceof DistributionEffect.BeginChunk begin) {
			reserveMemory(begin);
		}
		else if (effect instanceof DistributionEffect.VerifyChunk verify) {
			this.digestExecutor.execute(() -> verify(verify.chunk()));
		}
		else if (effect instanceof DistributionEffect.ReleaseChunk release) {
			this.expectedSources.remove(release.chunk());
			this.outstanding.cancel(release.chunk());
			this.memory.release(release.chunk());
		}
		else if (effect instanceof DistributionEffect.FetchManifest fetch) {
			fetchManifest(fetch);
		}
		else if (effect instanceof DistributionEffect.Announce announce) {
			send(announce.peer(),
					new WeightsMessage.AvailableChunks(announce.manifest(), announce.chunks().toBitfield()));
		}
		else if (effect instanceof DistributionEffect.ConnectNeighbours neighbours) {
			this.connector.setNeighbours(neighbours.peers());
		}
		else {
			handleVersionChange(effect);
		}
	}

	private void handleVersionChange(DistributionEffect effect) {
		if (effect instanceof DistributionEffect.VersionComplete complete) {
			logger.atInfo()
				.addKeyValue("event", "version-whole")
				.addKeyValue("version", complete.version().id())
				.log("all chunks of the version are verified and in memory");
		}
		else if (effect instanceof DistributionEffect.VersionRejected rejected) {
			logger.atError()
				.addKeyValue("event", "version-refused")
				.addKeyValue("version", rejected.version())
				.addKeyValue("neededBytes", rejected.neededBytes())
				.addKeyValue("memoryBytes", rejected.memoryBytes())
				.log("the version does not fit into the chunk memory; raise [weights] memory-mb or select fewer versions for this instance");
		}
		else if (effect instanceof DistributionEffect.VersionDropped dropped) {
			this.manifests.remove(dropped.version().manifestDigest());
			this.wantedVersions.remove(dropped.version().manifestDigest());
		}
	}

	private void reserveMemory(DistributionEffect.BeginChunk begin) {
		try {
			this.memory.reserve(begin.chunk(), begin.bytes());
			this.expectedSources.put(begin.chunk(), begin.source());
		}
		catch (WeightsException ex) {
			logger.atError().addKeyValue("event", "chunk-memory-full").setCause(ex).log(ex.getMessage());
			this.events.accept(new DistributionEvent.SliceRejected(begin.source(), begin.chunk(), 1000));
		}
	}

	private void verify(Digest chunk) {
		this.expectedSources.remove(chunk);
		this.outstanding.cancel(chunk);
		boolean verified = this.memory.verify(chunk);
		this.events
			.accept(verified ? new DistributionEvent.ChunkVerified(chunk) : new DistributionEvent.ChunkCorrupt(chunk));
	}

	private void scheduleRequest(DistributionEffect.RequestSlice request) {
		long delay = this.outstanding.reserve(request.chunk(), request.offset(), request.length());
		if (delay > 0) {
			this.timer.schedule(() -> request(request), delay, TimeUnit.MILLISECONDS);
		}
		else {
			request(request);
		}
	}

	private void request(DistributionEffect.RequestSlice request) {
		if (!request.source().equals(this.expectedSources.get(request.chunk()))) {
			return;
		}
		this.outstanding.markSent(request.chunk(), request.offset(), this.clock.millis());
		if (request.source() instanceof Source.Peer peer) {
			Message message = new WeightsMessage.ChunkRequest(request.chunk(), request.offset(), request.length());
			if (!send(peer.instance(), message)) {
				handleMissingConnection(peer, request.chunk());
			}
			return;
		}
		this.publishedSources.get(request.source())
			.readData(request.version(), request.position(), request.length())
			.whenComplete((bytes, ex) -> {
				if (ex != null) {
					handleSliceFailure(request.source(), request.chunk(), ex);
				}
				else {
					store(request.source(), request.chunk(), request.offset(), bytes);
				}
			});
	}

	private boolean send(InstanceId peer, Message message) {
		Optional<PeerConnection> connection = this.peers.to(peer);
		return connection.isPresent() && connection.get().frameConnection().send(message);
	}

	private void handleMissingConnection(Source.Peer peer, Digest chunk) {
		long now = this.clock.millis();
		long since = this.connectingSince.computeIfAbsent(peer.instance(), (instance) -> now);
		this.connector.connect(peer.instance());
		boolean withinTimeout = now - since < CONNECT_TIMEOUT_MILLIS;
		this.events
			.accept(withinTimeout ? new DistributionEvent.SliceRejected(peer, chunk, RETRY_WHILE_CONNECTING_MILLIS)
					: new DistributionEvent.SliceFailed(peer, chunk));
	}

	private void handleSliceFailure(Source source, Digest chunk, Throwable ex) {
		if (ex instanceof WeightsException failure && failure.kind() == WeightsException.Kind.RATE_LIMITED) {
			this.events.accept(new DistributionEvent.SliceRejected(source, chunk, failure.retryAfterMillis()));
			return;
		}
		logger.atWarn()
			.addKeyValue("event", "source-failed")
			.addKeyValue("source", source)
			.log(String.valueOf(ex.getMessage()));
		this.events.accept(new DistributionEvent.SliceFailed(source, chunk));
	}

	private void store(Source source, Digest chunk, int offset, byte[] bytes) {
		this.arrivedBytes.addAndGet(bytes.length);
		if (source.equals(this.expectedSources.get(chunk))
				&& this.memory.store(chunk, offset, ByteBuffer.wrap(bytes))) {
			long responseMillis = this.outstanding.remove(chunk, offset, this.clock.millis());
			this.events.accept(new DistributionEvent.SliceArrived(source, chunk, offset, bytes.length, responseMillis));
		}
	}

	private void fetchManifest(DistributionEffect.FetchManifest fetch) {
		this.wantedVersions.put(fetch.digest(), fetch.version());
		if (fetch.source() instanceof Source.Peer peer) {
			if (!send(peer.instance(), new WeightsMessage.ManifestRequest(fetch.digest()))) {
				this.connector.connect(peer.instance());
				this.events.accept(new DistributionEvent.ManifestFailed(fetch.digest(), peer, false,
						RETRY_WHILE_CONNECTING_MILLIS));
			}
			return;
		}
		this.publishedSources.get(fetch.source()).readManifest(fetch.version()).whenComplete((bytes, ex) -> {
			if (ex != null) {
				long retry = (ex instanceof WeightsException failure) ? failure.retryAfterMillis() : 0;
				this.events.accept(new DistributionEvent.ManifestFailed(fetch.digest(), fetch.source(), false, retry));
			}
			else {
				handleManifest(fetch.source(), fetch.digest(), bytes);
			}
		});
	}

	private void handleManifest(Source source, Digest digest, byte[] bytes) {
		VersionId version = this.wantedVersions.get(digest);
		if (version == null || this.manifests.containsKey(digest)) {
			return;
		}
		try {
			DistributionEvent arrived = new DistributionEvent.ManifestArrived(digest,
					ManifestJson.parse(bytes, digest, version));
			this.manifests.put(digest, bytes);
			this.events.accept(arrived);
		}
		catch (WeightsException ex) {
			logger.atWarn()
				.addKeyValue("event", "manifest-rejected")
				.addKeyValue("source", source)
				.log(ex.getMessage());
			this.events.accept(new DistributionEvent.ManifestFailed(digest, source, true, 0));
		}
	}

	void handleManifestRequest(PeerConnection connection, WeightsMessage.ManifestRequest request) {
		byte[] bytes = this.manifests.getOrDefault(request.manifest(), new byte[0]);
		connection.frameConnection().send(new WeightsMessage.ManifestContent(request.manifest(), bytes));
	}

	void handleManifestContent(Source source, WeightsMessage.ManifestContent content) {
		if (content.bytes().length == 0) {
			this.events.accept(new DistributionEvent.ManifestFailed(content.manifest(), source, false, 0));
			return;
		}
		handleManifest(source, content.manifest(), content.bytes());
	}

	void handleSlice(Source source, WeightsMessage.ChunkSlice slice) {
		store(source, slice.chunk(), slice.offset(), slice.bytes());
	}

	long arrivedBytes() {
		return this.arrivedBytes.get();
	}

	void handlePeerConnected(InstanceId peer) {
		this.connectingSince.remove(peer);
		this.events.accept(new DistributionEvent.PeerConnected(peer));
	}

}
