package org.catkingate.agent.weights;

import java.util.concurrent.CompletableFuture;

import org.catkingate.model.VersionId;

/**
 * Where published weights can be read: the origin or the weight store. Safe for use by
 * any thread. Futures end on an I/O thread; those that fail do so with a
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
	CompletableFuture<byte[]> manifest(VersionId version);

	/**
	 * Reads a range of a version's data.
	 * @param version the version
	 * @param start the position of the first byte in the whole
	 * @param length how many bytes
	 * @return exactly so many bytes, not verified
	 */
	CompletableFuture<byte[]> read(VersionId version, long start, int length);

}
