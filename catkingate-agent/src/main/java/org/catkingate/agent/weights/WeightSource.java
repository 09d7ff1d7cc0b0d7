package org.catkingate.agent.weights;

import java.util.concurrent.CompletableFuture;

import org.catkingate.model.VersionId;

/**
 * Source of published weights: the origin or the weight store. Safe for use by any
 * thread. Futures complete on an I/O thread; those that fail do so with a
 * {@link WeightsException}.
 *
 * @since 0.1
 */
public interface WeightSource {

	/**
	 * Reads the bytes of a manifest.
	 * @param version the version
	 * @return the bytes, not verified
	 */
	CompletableFuture<byte[]> readManifest(VersionId version);

	/**
	 * Reads a range of a version's data.
	 * @param version the version
	 * @param start the position of the first byte in the complete data
	 * @param length the number of bytes
	 * @return exactly {@code length} bytes, not verified
	 */
	CompletableFuture<byte[]> readData(VersionId version, long start, int length);

}
