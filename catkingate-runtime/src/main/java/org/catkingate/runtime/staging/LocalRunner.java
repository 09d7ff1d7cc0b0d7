package org.catkingate.runtime.staging;

import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.catkingate.model.ModelName;

/**
 * A client of the runner on this instance, which queries its state, stages pieces of
 * weights and sends commands. Every call completes, with a result or exceptionally. Safe
 * for use by any thread.
 *
 * @since 0.1
 */
public interface LocalRunner {

	/**
	 * Reads the state of the runner.
	 * @return the report of the runner
	 */
	CompletableFuture<RunnerReport> readReport();

	/**
	 * Returns which pieces of a model are staged. The runner does not verify them.
	 * @param model the model
	 * @return the indexes of the pieces
	 */
	CompletableFuture<Set<Integer>> listStaged(ModelName model);

	/**
	 * Reads a staged piece.
	 * @param model the model
	 * @param index the index of the piece
	 * @return the bytes, empty if the piece is not staged
	 */
	CompletableFuture<byte[]> readStaged(ModelName model, int index);

	/**
	 * Stages a piece and replaces a staged piece with the same index.
	 * @param model the model
	 * @param index the index of the piece
	 * @param piece the bytes
	 * @return a future that completes when the runner has received the piece
	 */
	CompletableFuture<Void> stage(ModelName model, int index, byte[] piece);

	/**
	 * Sends the command to load the staged weights after the running requests have ended.
	 * @param model the model
	 * @param version the version that is staged
	 * @return the response to the command
	 */
	CompletableFuture<LoadCommandResponse> load(ModelName model, long version);

}
