package org.catkingate.runtime.staging;

import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.catkingate.model.ModelName;

/**
 * Orders to the runner on this machine. Every call ends. Safe for use by any thread.
 *
 * @since 0.1
 */
public interface LocalRunner {

	/**
	 * Asks what the runner does.
	 * @return its report
	 */
	CompletableFuture<RunnerReport> report();

	/**
	 * Lists the staged pieces of a model. The runner does not check them.
	 * @param model the model
	 * @return the numbers of the pieces
	 */
	CompletableFuture<Set<Integer>> staged(ModelName model);

	/**
	 * Reads a staged piece back.
	 * @param model the model
	 * @param index the number of the piece
	 * @return the bytes, empty if the piece is not there
	 */
	CompletableFuture<byte[]> readStaged(ModelName model, int index);

	/**
	 * Stages a piece in place of the one with its number.
	 * @param model the model
	 * @param index the number of the piece
	 * @param piece the bytes
	 * @return completes when the runner has it
	 */
	CompletableFuture<Void> stage(ModelName model, int index, byte[] piece);

	/**
	 * Orders the runner to load what is staged, once its running requests have ended.
	 * @param model the model
	 * @param version the version that is staged
	 * @return what the runner says to the order
	 */
	CompletableFuture<OrderAnswer> load(ModelName model, long version);

}
