package org.catkingate.model;

import java.util.List;
import java.util.Objects;

/**
 * The manifest of a version: the ordered chunks of its weights and the digest of the
 * complete weights. All chunks except the last have the same size. Immutable and safe for
 * use by any thread.
 *
 * @param version the version that it describes
 * @param totalBytes the size of the complete weights, in bytes
 * @param chunkBytes the size of a chunk, in bytes
 * @param digest the digest of the complete weights
 * @param chunks the digest of each chunk, in order
 * @since 0.1
 */
public record Manifest(VersionId version, long totalBytes, int chunkBytes, Digest digest, List<Digest> chunks) {

	public Manifest {
		Objects.requireNonNull(version, "version must not be null");
		Objects.requireNonNull(digest, "digest must not be null");
		chunks = List.copyOf(chunks);
		if (totalBytes <= 0 || chunkBytes <= 0) {
			throw new IllegalArgumentException("manifest sizes must be positive");
		}
		long expected = (totalBytes + chunkBytes - 1) / chunkBytes;
		if (chunks.size() != expected) {
			throw new IllegalArgumentException("manifest of " + totalBytes + " bytes must list " + expected
					+ " chunks but lists " + chunks.size());
		}
	}

	/**
	 * Returns the size of a chunk.
	 * @param index the chunk's index, from 0
	 * @return its size in bytes
	 */
	public int sizeOf(int index) {
		Objects.checkIndex(index, this.chunks.size());
		long remaining = this.totalBytes - (long) index * this.chunkBytes;
		return (int) Math.min(this.chunkBytes, remaining);
	}

}
