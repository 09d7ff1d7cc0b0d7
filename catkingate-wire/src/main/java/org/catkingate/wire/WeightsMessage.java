package org.catkingate.wire;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.Digest;
import org.catkingate.model.ModelName;

/**
 * A message about the distribution of weights between processes.
 *
 * @since 0.1
 */
public sealed interface WeightsMessage extends Message {

	/**
	 * The chunks of a manifest that the sender has verified and offers.
	 *
	 * @param manifest the digest of the manifest's bytes
	 * @param bitfield one bit per chunk, in order, least significant bit first
	 */
	record AvailableChunks(Digest manifest, byte[] bitfield) implements WeightsMessage {

		public AvailableChunks {
			Objects.requireNonNull(manifest, "manifest must not be null");
		}

	}

	/**
	 * A request for the bytes of a manifest.
	 *
	 * @param manifest the digest of the manifest's bytes
	 */
	record ManifestRequest(Digest manifest) implements WeightsMessage {

	}

	/**
	 * The bytes of a manifest.
	 *
	 * @param manifest the digest of the manifest's bytes
	 * @param bytes the manifest
	 */
	record ManifestContent(Digest manifest, byte[] bytes) implements WeightsMessage {

	}

	/**
	 * A request for a slice of a chunk.
	 *
	 * @param chunk the digest of the chunk
	 * @param offset the offset of the first byte in the chunk
	 * @param length the number of bytes
	 */
	record ChunkRequest(Digest chunk, int offset, int length) implements WeightsMessage {

	}

	/**
	 * A slice of a chunk.
	 *
	 * @param chunk the digest of the chunk
	 * @param offset the offset of the first byte in the chunk
	 * @param bytes the slice
	 */
	record ChunkSlice(Digest chunk, int offset, byte[] bytes) implements WeightsMessage {

	}

	/**
	 * The rejection of a {@link ChunkRequest}: the sender does not have the chunk or does
	 * not offer it now.
	 *
	 * @param chunk the digest of the chunk
	 * @param retryAfterMillis the time after which to retry, in milliseconds; 0 for never
	 */
	record ChunkRejection(Digest chunk, long retryAfterMillis) implements WeightsMessage {

	}

	/**
	 * A request for the digests of the pieces of a version.
	 *
	 * @param model the model
	 * @param version the version
	 */
	record VersionDigestsRequest(ModelName model, long version) implements WeightsMessage {

		public VersionDigestsRequest {
			Objects.requireNonNull(model, "model must not be null");
		}

	}

	/**
	 * The digests of the pieces of a version.
	 *
	 * @param model the model
	 * @param version the version
	 * @param pieceBytes the size of a piece, in bytes
	 * @param digests the digests in order; empty if the sender does not have them now
	 */
	record VersionDigests(ModelName model, long version, int pieceBytes,
			List<Digest> digests) implements WeightsMessage {

		public VersionDigests {
			Objects.requireNonNull(model, "model must not be null");
			digests = List.copyOf(digests);
		}

	}

	/**
	 * A statement that requests of the receiver are neither answered nor forgotten: the
	 * sender waits for its own source. It is sent while such requests are open, so that
	 * the receiver does not take a slow origin for a failed process.
	 *
	 * @param subjects the requests, each named by the digest of the chunk or by the model
	 * and version; at most {@link #MAX_SUBJECTS}
	 * @param unavailable those of them that wait for an origin that cannot be read now
	 */
	record RequestsPending(List<String> subjects, List<String> unavailable) implements WeightsMessage {

		/** The maximum number of requests in a message. */
		public static final int MAX_SUBJECTS = 512;

		public RequestsPending {
			subjects = List.copyOf(subjects);
			unavailable = List.copyOf(unavailable);
			if (subjects.size() > MAX_SUBJECTS || unavailable.size() > subjects.size()) {
				throw new IllegalArgumentException("a message must not name more than " + MAX_SUBJECTS + " requests");
			}
		}

		/**
		 * Returns how a version is named in such messages.
		 * @param model the model
		 * @param version the version
		 * @return the subject of a request for its digests, never null
		 */
		public static String subject(ModelName model, long version) {
			return model + "/" + version;
		}

	}

}
