package org.catkingate.model.registry;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.Digest;
import org.catkingate.model.ModelName;

/**
 * The digests of the pieces of one version of a model's weights. Immutable and safe for
 * use by any thread.
 *
 * @param model the model
 * @param version the version
 * @param pieceBytes the size of a piece, in bytes; the last piece may be smaller
 * @param digests the digest of each piece, in order
 * @since 0.1
 */
public record PieceDigests(ModelName model, long version, int pieceBytes, List<Digest> digests) {

	public PieceDigests {
		Objects.requireNonNull(model, "model must not be null");
		if (pieceBytes < 1 || digests.isEmpty()) {
			throw new IllegalArgumentException("a version must have at least one piece of at least one byte");
		}
		digests = List.copyOf(digests);
	}

}
