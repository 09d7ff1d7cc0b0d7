package org.catkingate.decisions.distribution;

import java.util.Set;

import org.catkingate.decisions.Effect;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Manifest;
import org.catkingate.model.VersionId;
import org.catkingate.model.published.WeightsVersion;

/**
 * An effect of the distribution of weights, to be carried out by the agent.
 *
 * @since 0.1
 */
public sealed interface DistributionEffect extends Effect {

	/**
	 * An instruction to open connections to these peers where there are none. They
	 * replace the peers of the previous instruction; connections to other peers stay
	 * open.
	 *
	 * @param peers the neighbours for all versions
	 */
	record ConnectNeighbours(Set<InstanceId> peers) implements DistributionEffect {

		public ConnectNeighbours {
			peers = Set.copyOf(peers);
		}

	}

	/**
	 * An instruction to request a manifest from a source.
	 *
	 * @param source the source
	 * @param version the version
	 * @param digest the digest of the manifest's bytes
	 */
	record FetchManifest(Source source, VersionId version, Digest digest) implements DistributionEffect {

	}

	/**
	 * An instruction to announce to a peer which chunks are held.
	 *
	 * @param peer the peer
	 * @param manifest the digest of the manifest's bytes
	 * @param chunks the chunks
	 */
	record Announce(InstanceId peer, Digest manifest, ChunkSet chunks) implements DistributionEffect {

	}

	/**
	 * An instruction to allocate memory for a chunk and to store only slices from one
	 * source in it.
	 *
	 * @param chunk the chunk
	 * @param bytes the size of the chunk, in bytes
	 * @param source the source
	 */
	record BeginChunk(Digest chunk, int bytes, Source source) implements DistributionEffect {

	}

	/**
	 * An instruction to request a slice of a chunk from a source.
	 *
	 * @param source the source
	 * @param version the version that the chunk belongs to
	 * @param position the position of the slice in the data of the version
	 * @param chunk the chunk
	 * @param offset the position of the slice in the chunk
	 * @param length the size of the slice, in bytes
	 */
	record RequestSlice(Source source, VersionId version, long position, Digest chunk, int offset,
			int length) implements DistributionEffect {

	}

	/**
	 * An instruction to verify the digest of a chunk that has arrived completely.
	 *
	 * @param chunk the chunk
	 */
	record VerifyChunk(Digest chunk) implements DistributionEffect {

	}

	/**
	 * An instruction to release the memory of a chunk.
	 *
	 * @param chunk the chunk
	 */
	record ReleaseChunk(Digest chunk) implements DistributionEffect {

	}

	/**
	 * A notification that the manifest of a version is known.
	 *
	 * @param version the version
	 * @param manifest its manifest
	 */
	record VersionKnown(WeightsVersion version, Manifest manifest) implements DistributionEffect {

	}

	/**
	 * A notification that all chunks of a version are held.
	 *
	 * @param version the version
	 * @param manifest its manifest
	 */
	record VersionComplete(WeightsVersion version, Manifest manifest) implements DistributionEffect {

	}

	/**
	 * A notification that a version is no longer wanted on this instance.
	 *
	 * @param version the version
	 */
	record VersionDropped(WeightsVersion version) implements DistributionEffect {

	}

	/**
	 * A notification that a version does not fit into the memory.
	 *
	 * @param version the version
	 * @param neededBytes the memory needed for it together with the other versions, in
	 * bytes
	 * @param memoryBytes the memory available, in bytes
	 */
	record VersionRejected(VersionId version, long neededBytes, long memoryBytes) implements DistributionEffect {

	}

}
