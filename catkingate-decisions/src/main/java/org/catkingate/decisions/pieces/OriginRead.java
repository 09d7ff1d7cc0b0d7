package org.catkingate.decisions.pieces;

import java.util.Objects;

import org.catkingate.model.ModelName;

/**
 * A read from the origin of weights. Immutable and safe for use by any thread.
 *
 * @param model the model
 * @param version the version
 * @param index the index of the piece, {@link #DIGESTS} for the digests of all pieces
 * @since 0.1
 */
public record OriginRead(ModelName model, long version, int index) {

	/** The index that stands for the digests of a version. */
	public static final int DIGESTS = -1;

	public OriginRead {
		Objects.requireNonNull(model, "model must not be null");
		if (index < DIGESTS) {
			throw new IllegalArgumentException("index must not be negative");
		}
	}

	/**
	 * Creates a read of the digests of a version.
	 * @param model the model
	 * @param version the version
	 * @return the read, never null
	 */
	public static OriginRead ofDigests(ModelName model, long version) {
		return new OriginRead(model, version, DIGESTS);
	}

}
