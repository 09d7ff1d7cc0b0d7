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
import org.catkingate.wire.Weights;

/**
 * Carries out the effects of the distribution and turns what comes back into events. Safe
 * for use by any thread; nothing blocks but the computation of digests, which has a
 * thread of its own.
 */
final class DistributionIo {

	private static final Logger logger = LoggerFactory.getLogger(DistributionIo.class);

	private static final long CONNECTING_MILLIS = 300;

	private static final long CONNECT_PATIENCE_MILLIS = 3000;

	private final ChunkMemory memory;

	private final Map<Source, WeightSource> published;

	private final PeerConnections peers;

	private final Dialler dialler;

	private final OutstandingSlices outstanding;

	private final ScheduledExecutorService timer;

	private final ExecutorService digests;

	private final MonotonicClock clock;

	private final Consumer<Event> events;

	private final Map<Digest, Source> expected = new ConcurrentHashMap<>();

	private final Map<Digest, byte[]> manifests = new ConcurrentHashMap<>();

	private final Map<Digest, VersionId> wanted = new ConcurrentHashMap<>();

	private final Map<InstanceId, Long> connectingSince = new ConcurrentHashMap<>();

	private final AtomicLong arrivedBytes = new AtomicLong();

	DistributionIo(WeightsParts parts, ChunkMemory memory, Consumer<Event> events) {
		this.memory = memory;
		this.published = parts.published();
		this.peers = parts.peers();
		this.dialler = parts.dialler();
		this.outstanding = new OutstandingSlices(parts.download());
		this.timer = parts.timer();
		this.digests = parts.digests();
		this.clock = parts.clock();
		this.events = events;
	}

	void carryOut(DistributionEffect effect) {
		if (effect instanceof DistributionEffect.RequestSlice request) {
			pace(request);
		}
		else if (effect instanceof DistributionEffect.BeginChunk begin) {
			begin(begin);
		}
		else if (effect instanceof DistributionEffect.VerifyChunk verify) {
			this.digests.execute(() -> verify(verify.chunk()));
		}
		else if (effect instanceof DistributionEffect.ReleaseChunk release) {
			this.expected.remove(release.chunk());
			this.outstanding.giveUp(release.chunk());
			this.memory.release(release.chunk());
		}
		else if (effect instanceof DistributionEffect.FetchManifest fetch) {
			fetchManifest(fetch);
		}
		else if (effect instanceof DistributionEffect.Announce announce) {
			send(announce.peer(), new Weights.ChunksHeld(announce.manifest(), announce.chunks().toBitfield()));
		}
		else if (effect instanceof DistributionEffect.ConnectNeighbours neighbours) {
			this.dialler.wantNeighbours(neighbours.peers());
		}
		else {
			tell(effect);
		}
	}

	private void tell(DistributionEffect effect) {
		if (effect instanceof DistributionEffect.VersionWhole whole) {
			logger.atInfo()
				.addKeyValue("event", "version-whole")
				.addKeyValue("version", whole.version().id())
				.log("all chunks are held");
		}
		else if (effect instanceof DistributionEffect.VersionRefused refused) {
			logger.atError()
				.addKeyValue("event", "version-refused")
				.addKeyValue("version", refused.version())
				.addKeyValue("neededBytes", refused.neededBytes())
				.addKeyValue("memoryBytes", refused.memoryBytes())
				.log("the version does not fit; raise [weights] memory-mb or select fewer versions for this instance");
		}
		else if (effect instanceof DistributionEffect.VersionDropped dropped) {
			this.manifests.remove(dropped.version().manifestDigest());
			this.wanted.remove(dropped.version().manifestDigest());
		}
	}

	private void begin(DistributionEffect.BeginChunk begin) {
		try {
			this.memory.begin(begin.chunk(), begin.bytes());
			this.expected.put(begin.chunk(), begin.source());
		}
		catch (WeightsException ex) {
			logger.atError().addKeyValue("event", "chunk-memory-full").setCause(ex).log(ex.getMessage());
			this.events.accept(new DistributionEvent.SliceRefused(begin.source(), begin.chunk(), 1000));
		}
	}

	private void verify(Digest chunk) {
		this.expected.remove(chunk);
		this.outstanding.giveUp(chunk);
		boolean verified = this.memory.verify(chunk);
		this.events
			.accept(verified ? new DistributionEvent.ChunkVerified(chunk) : new DistributionEvent.ChunkCorrupt(chunk));
	}

	private void pace(DistributionEffect.RequestSlice request) {
		long delay = this.outstanding.take(request.chunk(), request.offset(), request.length());
		if (delay > 0) {
			this.timer.schedule(() -> request(request), delay, TimeUnit.MILLISECONDS);
		}
		else {
			request(request);
		}
	}

	private void request(DistributionEffect.RequestSlice request) {
		if (!request.source().equals(this.expected.get(request.chunk()))) {
			return;
		}
		this.outstanding.sent(request.chunk(), request.offset(), this.clock.millis());
		if (request.source() instanceof Source.Peer peer) {
			Message message = new Weights.ChunkRequest(request.chunk(), request.offset(), request.length());
			if (!send(peer.instance(), message)) {
				notConnected(peer, request.chunk());
			}
			return;
		}
		this.published.get(request.source())
			.read(request.version(), request.position(), request.length())
			.whenComplete((bytes, ex) -> {
				if (ex != null) {
					failed(request.source(), request.chunk(), ex);
				}
				else {
					store(request.source(), request.chunk(), request.offset(), bytes);
				}
			});
	}

	private boolean send(InstanceId peer, Message message) {
		Optional<PeerConnection> connection = this.peers.to(peer);
		return connection.isPresent() && connection.get().frames().send(message);
	}

	private void notConnected(Source.Peer peer, Digest chunk) {
		long now = this.clock.millis();
		long since = this.connectingSince.computeIfAbsent(peer.instance(), (instance) -> now);
		this.dialler.connect(peer.instance());
		boolean patient = now - since < CONNECT_PATIENCE_MILLIS;
		this.events.accept(patient ? new DistributionEvent.SliceRefused(peer, chunk, CONNECTING_MILLIS)
				: new DistributionEvent.SliceFailed(peer, chunk));
	}

	private void failed(Source source, Digest chunk, Throwable ex) {
		if (ex instanceof WeightsException failure && failure.kind() == WeightsException.Kind.RATE_LIMITED) {
			this.events.accept(new DistributionEvent.SliceRefused(source, chunk, failure.retryAfterMillis()));
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
		if (source.equals(this.expected.get(chunk)) && this.memory.store(chunk, offset, ByteBuffer.wrap(bytes))) {
			long took = this.outstanding.arrived(chunk, offset, this.clock.millis());
			this.events.accept(new DistributionEvent.SliceArrived(source, chunk, offset, bytes.length, took));
		}
	}

	private void fetchManifest(DistributionEffect.FetchManifest fetch) {
		this.wanted.put(fetch.digest(), fetch.version());
		if (fetch.source() instanceof Source.Peer peer) {
			if (!send(peer.instance(), new Weights.ManifestRequest(fetch.digest()))) {
				this.dialler.connect(peer.instance());
				this.events
					.accept(new DistributionEvent.ManifestFailed(fetch.digest(), peer, false, CONNECTING_MILLIS));
			}
			return;
		}
		this.published.get(fetch.source()).manifest(fetch.version()).whenComplete((bytes, ex) -> {
			if (ex != null) {
				long retry = (ex instanceof WeightsException failure) ? failure.retryAfterMillis() : 0;
				this.events.accept(new DistributionEvent.ManifestFailed(fetch.digest(), fetch.source(), false, retry));
			}
			else {
				manifestArrived(fetch.source(), fetch.digest(), bytes);
			}
		});
	}

	private void manifestArrived(Source source, Digest digest, byte[] bytes) {
		VersionId version = this.wanted.get(digest);
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

	void manifestRequested(PeerConnection connection, Weights.ManifestRequest request) {
		byte[] bytes = this.manifests.getOrDefault(request.manifest(), new byte[0]);
		connection.frames().send(new Weights.ManifestContent(request.manifest(), bytes));
	}

	void manifestReceived(Source source, Weights.ManifestContent content) {
		if (content.bytes().length == 0) {
			this.events.accept(new DistributionEvent.ManifestFailed(content.manifest(), source, false, 0));
			return;
		}
		manifestArrived(source, content.manifest(), content.bytes());
	}

	void sliceReceived(Source source, Weights.ChunkSlice slice) {
		store(source, slice.chunk(), slice.offset(), slice.bytes());
	}

	long arrivedBytes() {
		return this.arrivedBytes.get();
	}

	void connected(InstanceId peer) {
		this.connectingSince.remove(peer);
		this.events.accept(new DistributionEvent.PeerOpened(peer));
	}

}
