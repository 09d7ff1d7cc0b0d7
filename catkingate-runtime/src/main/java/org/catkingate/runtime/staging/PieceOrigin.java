package org.catkingate.runtime.staging;

import java.util.concurrent.CompletableFuture;

import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;

/**
 * An origin from which published weights can be read piece by piece. What it sends may be
 * wrong. Every call completes, with a result or exceptionally. Safe for use by any
 * thread.
 *
 * @since 0.1
 */
public interface PieceOrigin {

	/**
	 * Reads the digests of a version's pieces.
	 * @param model the model
	 * @param version the version
	 * @return the digests, not verified
	 */
	CompletableFuture<PieceDigests> readDigests(ModelName model, long version);

	/**
	 * Reads a piece.
	 * @param model the model
	 * @param version the version
	 * @param index the index of the piece, from 0
	 * @return the bytes, not verified
	 */
	CompletableFuture<byte[]> readPiece(ModelName model, long version, int index);

}
