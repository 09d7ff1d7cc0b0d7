package org.catkingate.wire;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.Digest;
import org.catkingate.model.ModelName;

/**
 * Messages of the distribution of weights between agents.
 *
 * @since 0.1
 */
public sealed interface Weights extends Message {

	/**
	 * Which chunks of a manifest the sender has verified and shares.
	 *
	 * @param manifest the digest of the manifest's bytes
	 * @param bitfield a bit for each chunk, lowest bit first
	 */
	record ChunksHeld(Digest manifest, byte[] bitfield) implements Weights {

		public ChunksHeld {
			Objects.requireNonNull(manifest, "manifest must not be null");
		}

	}

	/**
	 * Asks for the bytes of a manifest.
	 *
	 * @param manifest the digest of the manifest's bytes
	 */
	record ManifestRequest(Digest manifest) implements Weights {

	}

	/**
	 * The bytes of a manifest.
	 *
	 * @param manifest the digest of the manifest's bytes
	 * @param bytes the manifest
	 */
	record ManifestContent(Digest manifest, byte[] bytes) implements Weights {

	}

	/**
	 * Asks for a slice of a chunk.
	 *
	 * @param chunk the digest of the chunk
	 * @param offset the first byte
	 * @param length how many bytes
	 */
	record ChunkRequest(Digest chunk, int offset, int length) implements Weights {

	}

	/**
	 * A slice of a chunk.
	 *
	 * @param chunk the digest of the chunk
	 * @param offset the first byte
	 * @param bytes the slice
	 */
	record ChunkSlice(Digest chunk, int offset, byte[] bytes) implements Weights {

	}

	/**
	 * The sender does not have the chunk or does not share it now.
	 *
	 * @param chunk the digest of the chunk
	 * @param retryAfterMillis when to ask again, in milliseconds, 0 for never
	 */
	record ChunkRefusal(Digest chunk, long retryAfterMillis) implements Weights {

	}

	/**
	 * Asks for the digests of a version's pieces.
	 *
	 * @param model the model
	 * @param version the version
	 */
	record VersionQuestion(ModelName model, long version) implements Weights {

		public VersionQuestion {
			Objects.requireNonNull(model, "model must not be null");
		}

	}

	/**
	 * The digests of a version's pieces.
	 *
	 * @param model the model
	 * @param version the version
	 * @param pieceBytes the length of a piece, in bytes
	 * @param digests the digests in order, none if the sender does not have them now
	 */
	record VersionDigests(ModelName model, long version, int pieceBytes, List<Digest> digests) implements Weights {

		public VersionDigests {
			Objects.requireNonNull(model, "model must not be null");
			digests = List.copyOf(digests);
		}

	}

}
