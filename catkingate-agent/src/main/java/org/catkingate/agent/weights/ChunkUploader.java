package org.catkingate.agent.weights;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RegionName;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.FrameLimits;
import org.catkingate.wire.WeightsMessage;

/**
 * Uploader of verified chunks to peers. A request for the first slice of a chunk is
 * rejected while the queue of uploads is too long. Once this instance has sent about one
 * copy of the wanted versions, it also rejects the first request of each peer for a
 * chunk, so that the peer turns to other sources. Requests for later slices of a chunk
 * are not rejected. None of this applies to peers in other regions, whose slices are also
 * sent without delay. Safe for use by any thread.
 */
final class ChunkUploader {

	private static final long MAX_QUEUE_MILLIS = 300;

	private static final long DEFERRAL_MILLIS = 50;

	private static final double COPIES_BEFORE_DEFERRAL = 1.1;

	private static final int MAX_REMEMBERED_DEFERRALS = 10_000;

	private final ChunkMemory memory;

	private final TokenBucket rateLimit;

	private final ScheduledExecutorService timer;

	private final MonotonicClock clock;

	private final RegionName region;

	private final LongSupplier wantedBytes;

	private final AtomicLong sentBytes = new AtomicLong();

	private final AtomicLong busyUntilMillis = new AtomicLong();

	private final Map<Deferral, Boolean> deferred = new ConcurrentHashMap<>();

	ChunkUploader(ChunkMemory memory, TokenBucket rateLimit, ScheduledExecutorService timer, MonotonicClock clock,
			RegionName region, LongSupplier wantedBytes) {
		this.region = region;
		this.wantedBytes = wantedBytes;
		this.memory = memory;
		this.rateLimit = rateLimit;
		this.timer = timer;
		this.clock = clock;
	}

	/**
	 * Responds to a request for a slice.
	 * @param connection the connection to the peer
	 * @param request the request
	 * @return whether the request is handled; false if its length is not allowed or the
	 * slice is not held
	 */
	boolean respond(FrameConnection connection, WeightsMessage.ChunkRequest request) {
		if (request.length() <= 0 || request.length() > FrameLimits.MAX_FRAME_BYTES / 2) {
			return false;
		}
		if (this.memory.read(request.chunk(), request.offset(), 1).isEmpty()) {
			return false;
		}
		long retryAfterMillis = (request.offset() == 0) ? rejectionRetryMillis(connection, request.chunk()) : 0;
		if (retryAfterMillis > 0) {
			connection.send(new WeightsMessage.ChunkRejection(request.chunk(), retryAfterMillis));
			return true;
		}
		long delay = this.rateLimit.take(request.length());
		this.busyUntilMillis.set(this.clock.millis() + delay);
		if (delay > 0 && !isInOtherRegion(connection)) {
			this.timer.schedule(() -> send(connection, request), delay, TimeUnit.MILLISECONDS);
		}
		else {
			send(connection, request);
		}
		return true;
	}

	/**
	 * Returns whether a peer is in another region. Uploads to such a peer precede others,
	 * since they are the only copy that its region receives this way.
	 * @param connection the connection to the peer
	 * @return whether it is in another region
	 */
	private boolean isInOtherRegion(FrameConnection connection) {
		return !connection.peer().region().equals(this.region);
	}

	/**
	 * Returns the time for which the first request for a chunk is rejected.
	 * @param connection the connection to the peer
	 * @param chunk the chunk
	 * @return the time after which the peer may retry, in milliseconds; 0 if the request
	 * is accepted
	 */
	private long rejectionRetryMillis(FrameConnection connection, Digest chunk) {
		long queueMillis = this.busyUntilMillis.get() - this.clock.millis();
		if (isInOtherRegion(connection)) {
			return 0;
		}
		if (queueMillis > MAX_QUEUE_MILLIS) {
			return queueMillis;
		}
		if (connection.isCongested()) {
			return MAX_QUEUE_MILLIS;
		}
		boolean belowFairShare = this.sentBytes.get() < COPIES_BEFORE_DEFERRAL * this.wantedBytes.getAsLong();
		if (belowFairShare) {
			return 0;
		}
		if (this.deferred.size() > MAX_REMEMBERED_DEFERRALS) {
			this.deferred.clear();
		}
		Deferral deferral = new Deferral(connection.peer().instance(), chunk);
		return (this.deferred.put(deferral, true) != null) ? 0 : DEFERRAL_MILLIS;
	}

	private void send(FrameConnection connection, WeightsMessage.ChunkRequest request) {
		Optional<byte[]> bytes = this.memory.read(request.chunk(), request.offset(), request.length());
		if (bytes.isPresent()) {
			this.sentBytes.addAndGet(bytes.get().length);
			connection.send(new WeightsMessage.ChunkSlice(request.chunk(), request.offset(), bytes.get()));
		}
		else {
			connection.send(new WeightsMessage.ChunkRejection(request.chunk(), 0));
		}
	}

	long sentBytes() {
		return this.sentBytes.get();
	}

	private record Deferral(InstanceId peer, Digest chunk) {

	}

}
