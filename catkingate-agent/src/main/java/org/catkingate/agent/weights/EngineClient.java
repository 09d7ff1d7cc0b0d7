package org.catkingate.agent.weights;

import java.util.concurrent.CompletableFuture;

import org.catkingate.model.Manifest;

/**
 * Client that commands one engine. Safe for use by any thread. Futures that fail do so
 * with a {@link WeightsException}.
 *
 * @since 0.1
 */
public interface EngineClient {

	/**
	 * Requests the state of the engine.
	 * @return its state
	 */
	CompletableFuture<EngineState> requestState();

	/**
	 * Commands the engine to load a version.
	 * @param manifest the manifest of the version; all its chunks must be in memory
	 * @param fence the fencing number
	 * @param content reads the chunks
	 * @return the engine's state after the command
	 */
	CompletableFuture<EngineState> load(Manifest manifest, long fence, ChunkContent content);

	/**
	 * Reader of verified chunks.
	 */
	@FunctionalInterface
	interface ChunkContent {

		/**
		 * Reads a slice of a chunk.
		 * @param index the chunk's index in the manifest
		 * @param offset the position of the first byte in the chunk
		 * @param length the number of bytes
		 * @return the bytes, never null
		 * @throws WeightsException if the chunk is no longer in memory
		 */
		byte[] read(int index, int offset, int length) throws WeightsException;

	}

}
