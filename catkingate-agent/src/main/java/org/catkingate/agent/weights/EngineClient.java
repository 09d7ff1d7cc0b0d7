package org.catkingate.agent.weights;

import java.util.concurrent.CompletableFuture;

import org.catkingate.model.Manifest;

/**
 * Orders to one engine. Safe for use by any thread. Futures that fail do so with a
 * {@link WeightsException}.
 *
 * @since 0.1
 */
public interface EngineClient {

	/**
	 * Asks what the engine holds.
	 * @return its state
	 */
	CompletableFuture<EngineState> state();

	/**
	 * Orders the engine to load a version.
	 * @param manifest the version; all its chunks must be held
	 * @param fence the fencing number
	 * @param content reads the chunks
	 * @return the engine's state after the order
	 */
	CompletableFuture<EngineState> load(Manifest manifest, long fence, ChunkContent content);

	/**
	 * Reads verified chunks.
	 */
	@FunctionalInterface
	interface ChunkContent {

		/**
		 * Reads a slice of a chunk.
		 * @param index the chunk's index in the manifest
		 * @param offset the position of the first byte in the chunk
		 * @param length how many bytes
		 * @return the bytes, never null
		 * @throws WeightsException if the chunk is not held any more
		 */
		byte[] read(int index, int offset, int length) throws WeightsException;

	}

}
