package org.catkingate.decisions.distribution;

import java.util.Set;

import org.catkingate.decisions.Effect;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.Manifest;
import org.catkingate.model.VersionId;
import org.catkingate.model.published.WeightsVersion;

/**
 * What is to be done for the distribution of weights.
 *
 * @since 0.1
 */
public sealed interface DistributionEffect extends Effect {

	/**
	 * Be connected to these peers.
	 *
	 * @param peers the neighbours in all versions
	 */
	record ConnectNeighbours(Set<InstanceId> peers) implements DistributionEffect {

		public ConnectNeighbours {
			peers = Set.copyOf(peers);
		}

	}

	/**
	 * Ask a source for a manifest.
	 *
	 * @param source the source
	 * @param version the version
	 * @param digest the digest of the manifest's bytes
	 */
	record FetchManifest(Source source, VersionId version, Digest digest) implements DistributionEffect {

	}

	/**
	 * Tell a peer which chunks are held.
	 *
	 * @param peer the peer
	 * @param manifest the digest of the manifest's bytes
	 * @param chunks the chunks
	 */
	record Announce(InstanceId peer, Digest manifest, ChunkSet chunks) implements DistributionEffect {

	}

	/**
	 * Make room for a chunk, and store only slices from one source.
	 *
	 * @param chunk the chunk
	 * @param bytes its size
	 * @param source the source
	 */
	record BeginChunk(Digest chunk, int bytes, Source source) implements DistributionEffect {

	}

	/**
	 * Ask a source for a slice.
	 *
	 * @param source the source
	 * @param version the version that the chunk belongs to
	 * @param position the position of the slice in the whole
	 * @param chunk the chunk
	 * @param offset the position of the slice in the chunk
	 * @param length the size of the slice, in bytes
	 */
	record RequestSlice(Source source, VersionId version, long position, Digest chunk, int offset,
			int length) implements DistributionEffect {

	}

	/**
	 * Compute the digest of a chunk that has arrived whole.
	 *
	 * @param chunk the chunk
	 */
	record VerifyChunk(Digest chunk) implements DistributionEffect {

	}

	/**
	 * Free the memory of a chunk.
	 *
	 * @param chunk the chunk
	 */
	record ReleaseChunk(Digest chunk) implements DistributionEffect {

	}

	/**
	 * The manifest of a version is known.
	 *
	 * @param version the version
	 * @param manifest its manifest
	 */
	record VersionKnown(WeightsVersion version, Manifest manifest) implements DistributionEffect {

	}

	/**
	 * All chunks of a version are held.
	 *
	 * @param version the version
	 * @param manifest its manifest
	 */
	record VersionWhole(WeightsVersion version, Manifest manifest) implements DistributionEffect {

	}

	/**
	 * A version is no longer wanted here.
	 *
	 * @param version the version
	 */
	record VersionDropped(WeightsVersion version) implements DistributionEffect {

	}

	/**
	 * A version cannot fit into the memory.
	 *
	 * @param version the version
	 * @param neededBytes what it needs beside the other versions, in bytes
	 * @param memoryBytes what there is, in bytes
	 */
	record VersionRefused(VersionId version, long neededBytes, long memoryBytes) implements DistributionEffect {

	}

}
