package org.catkingate.decisions.distribution;

import java.util.Objects;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Manifest;

/**
 * An event in the distribution of weights.
 *
 * @since 0.1
 */
public sealed interface DistributionEvent extends Event {

	/**
	 * A periodic tick, by which timeouts are detected.
	 */
	record Ticked() implements DistributionEvent {

	}

	/**
	 * A change of the configuration or the fleet.
	 *
	 * @param fleet the current configuration and fleet
	 */
	record FleetChanged(FleetSnapshot fleet) implements DistributionEvent {

		public FleetChanged {
			Objects.requireNonNull(fleet, "fleet must not be null");
		}

	}

	/**
	 * The arrival of a manifest, which has been verified.
	 *
	 * @param digest the digest of the manifest's bytes
	 * @param manifest the manifest
	 */
	record ManifestArrived(Digest digest, Manifest manifest) implements DistributionEvent {

	}

	/**
	 * The failure of a request for a manifest: the source sent none, or one with another
	 * digest.
	 *
	 * @param digest the digest of the manifest's bytes
	 * @param source the source
	 * @param corrupt whether the source sent bytes with another digest
	 * @param retryAfterMillis the time after which the source accepts another request, in
	 * milliseconds, 0 if it gave none
	 */
	record ManifestFailed(Digest digest, Source source, boolean corrupt,
			long retryAfterMillis) implements DistributionEvent {

	}

	/**
	 * The opening of a connection to a peer.
	 *
	 * @param peer the peer
	 */
	record PeerConnected(InstanceId peer) implements DistributionEvent {

	}

	/**
	 * The loss of a peer: it is no longer connected, or it does not respond.
	 *
	 * @param peer the peer
	 */
	record PeerDisconnected(InstanceId peer) implements DistributionEvent {

	}

	/**
	 * An announcement by a peer of the chunks that it holds.
	 *
	 * @param peer the peer
	 * @param manifest the digest of the manifest's bytes
	 * @param chunks the chunks
	 */
	record PeerAnnounced(InstanceId peer, Digest manifest, ChunkSet chunks) implements DistributionEvent {

	}

	/**
	 * The arrival of a slice, which has been stored.
	 *
	 * @param source the source of the slice
	 * @param chunk the chunk
	 * @param offset the position of the slice in the chunk
	 * @param length the size of the slice, in bytes
	 * @param responseMillis the time from request to response, in milliseconds
	 */
	record SliceArrived(Source source, Digest chunk, int offset, int length,
			long responseMillis) implements DistributionEvent {

	}

	/**
	 * The rejection of a request for a chunk by a source that is otherwise available.
	 *
	 * @param source the source
	 * @param chunk the chunk
	 * @param retryAfterMillis the time after which to retry, in milliseconds, 0 for never
	 */
	record SliceRejected(Source source, Digest chunk, long retryAfterMillis) implements DistributionEvent {

	}

	/**
	 * The failure of a request for a slice: no response, or an invalid one.
	 *
	 * @param source the source
	 * @param chunk the chunk
	 */
	record SliceFailed(Source source, Digest chunk) implements DistributionEvent {

	}

	/**
	 * The successful verification of a complete chunk.
	 *
	 * @param chunk the chunk
	 */
	record ChunkVerified(Digest chunk) implements DistributionEvent {

	}

	/**
	 * The failed verification of a complete chunk: it has another digest. Its memory has
	 * been released.
	 *
	 * @param chunk the chunk
	 */
	record ChunkCorrupt(Digest chunk) implements DistributionEvent {

	}

}
