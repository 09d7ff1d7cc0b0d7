package org.catkingate.decisions.distribution;

import java.util.Objects;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Manifest;

/**
 * What happens in the distribution of weights.
 *
 * @since 0.1
 */
public sealed interface DistributionEvent extends Event {

	/**
	 * Time has passed.
	 */
	record Ticked() implements DistributionEvent {

	}

	/**
	 * The configuration or the fleet has changed.
	 *
	 * @param fleet what is known now
	 */
	record FleetChanged(FleetSnapshot fleet) implements DistributionEvent {

		public FleetChanged {
			Objects.requireNonNull(fleet, "fleet must not be null");
		}

	}

	/**
	 * A manifest has arrived and been verified.
	 *
	 * @param digest the digest of its bytes
	 * @param manifest the manifest
	 */
	record ManifestArrived(Digest digest, Manifest manifest) implements DistributionEvent {

	}

	/**
	 * A source gave no manifest, or another one.
	 *
	 * @param digest the digest of the manifest's bytes
	 * @param source the source
	 * @param corrupt whether it gave other bytes
	 * @param retryAfterMillis when the source wants to be asked again, in milliseconds, 0
	 * if it named no time
	 */
	record ManifestFailed(Digest digest, Source source, boolean corrupt,
			long retryAfterMillis) implements DistributionEvent {

	}

	/**
	 * A connection to a peer is open.
	 *
	 * @param peer the peer
	 */
	record PeerOpened(InstanceId peer) implements DistributionEvent {

	}

	/**
	 * A peer is not connected any more, or silent.
	 *
	 * @param peer the peer
	 */
	record PeerLost(InstanceId peer) implements DistributionEvent {

	}

	/**
	 * A peer has told which chunks it holds.
	 *
	 * @param peer the peer
	 * @param manifest the digest of the manifest's bytes
	 * @param chunks the chunks
	 */
	record PeerAnnounced(InstanceId peer, Digest manifest, ChunkSet chunks) implements DistributionEvent {

	}

	/**
	 * A slice has arrived and is stored.
	 *
	 * @param source where it came from
	 * @param chunk the chunk
	 * @param offset its first byte
	 * @param length its size, in bytes
	 * @param tookMillis the time from request to answer, in milliseconds
	 */
	record SliceArrived(Source source, Digest chunk, int offset, int length,
			long tookMillis) implements DistributionEvent {

	}

	/**
	 * A source that works does not give a chunk now.
	 *
	 * @param source the source
	 * @param chunk the chunk
	 * @param retryAfterMillis when to ask again, in milliseconds, 0 for never
	 */
	record SliceRefused(Source source, Digest chunk, long retryAfterMillis) implements DistributionEvent {

	}

	/**
	 * A source gave no answer or a broken one.
	 *
	 * @param source the source
	 * @param chunk the chunk
	 */
	record SliceFailed(Source source, Digest chunk) implements DistributionEvent {

	}

	/**
	 * A chunk has arrived whole and has its digest.
	 *
	 * @param chunk the chunk
	 */
	record ChunkVerified(Digest chunk) implements DistributionEvent {

	}

	/**
	 * A chunk has arrived whole and has another digest. Its memory is free again.
	 *
	 * @param chunk the chunk
	 */
	record ChunkCorrupt(Digest chunk) implements DistributionEvent {

	}

}
