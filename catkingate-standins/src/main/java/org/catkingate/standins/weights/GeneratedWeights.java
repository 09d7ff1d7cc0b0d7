package org.catkingate.standins.weights;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkingate.standins.HttpService;

/**
 * Weights whose bytes are generated from seeds, so that any range can be computed without
 * storing them. Chunks of two versions that have the same seed, index and size are equal.
 * Immutable and safe for use by any thread.
 *
 * @since 0.1
 */
public final class GeneratedWeights {

	private static final long SPLITMIX_INCREMENT = 0x9E3779B97F4A7C15L;

	private final Specification specification;

	private final byte[] manifest;

	private final String digest;

	private GeneratedWeights(Specification specification) {
		this.specification = specification;
		MessageDigest all = sha256();
		ObjectNode json = HttpService.JSON.createObjectNode()
			.put("model", specification.model())
			.put("version", specification.version())
			.put("totalBytes", specification.totalBytes())
			.put("chunkBytes", specification.chunkBytes());
		ArrayNode chunks = HttpService.JSON.createArrayNode();
		for (long start = 0; start < specification.totalBytes(); start += specification.chunkBytes()) {
			byte[] chunk = bytes(start, (int) Math.min(specification.chunkBytes(), specification.totalBytes() - start));
			all.update(chunk);
			chunks.add(HexFormat.of().formatHex(sha256().digest(chunk)));
		}
		this.digest = HexFormat.of().formatHex(all.digest());
		json.put("digest", this.digest).set("chunks", chunks);
		this.manifest = json.toString().getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Creates weights and computes their digests.
	 * @param specification the specification of the weights
	 * @return the weights, never null
	 */
	public static GeneratedWeights of(Specification specification) {
		return new GeneratedWeights(specification);
	}

	/**
	 * Returns the specification of the weights.
	 * @return the specification, never null
	 */
	public Specification specification() {
		return this.specification;
	}

	/**
	 * Returns the digest of all bytes.
	 * @return 64 hexadecimal digits, never null
	 */
	public String digest() {
		return this.digest;
	}

	/**
	 * Returns the manifest.
	 * @return the manifest in JSON, never null
	 */
	public byte[] manifest() {
		return this.manifest.clone();
	}

	/**
	 * Returns the digest of the manifest, by which the configuration refers to it.
	 * @return 64 hexadecimal digits, never null
	 */
	public String manifestDigest() {
		return HexFormat.of().formatHex(sha256().digest(this.manifest));
	}

	/**
	 * Generates a range of the bytes.
	 * @param start the index of the first byte
	 * @param count the number of bytes
	 * @return the bytes, never null
	 */
	public byte[] bytes(long start, int count) {
		long firstWord = start / Long.BYTES;
		long lastWord = (start + count - 1) / Long.BYTES;
		ByteBuffer words = ByteBuffer.allocate((int) (lastWord - firstWord + 1) * Long.BYTES)
			.order(ByteOrder.LITTLE_ENDIAN);
		for (long word = firstWord; word <= lastWord; word++) {
			words.putLong(generateWord(word));
		}
		byte[] result = new byte[count];
		words.position((int) (start - firstWord * Long.BYTES)).get(result);
		return result;
	}

	private long generateWord(long index) {
		long chunk = index * Long.BYTES / this.specification.chunkBytes();
		long mixed = this.specification.seedOf(chunk) * 31 + index * SPLITMIX_INCREMENT;
		// the output function of the SplitMix64 generator
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return mixed ^ (mixed >>> 31);
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("this Java runtime lacks SHA-256; install a complete one", ex);
		}
	}

	/**
	 * The specification of generated weights. Immutable.
	 *
	 * @param model the model
	 * @param version the version
	 * @param seed the seed of the chunks that are specific to this version
	 * @param baseSeed the seed of the other chunks, which are shared with other versions
	 * @param ownChunkInterval the interval of chunks that are specific to this version:
	 * every chunk whose index is a multiple of it; 1 for all
	 * @param totalBytes the total size
	 * @param chunkBytes the size of a chunk, a multiple of 8
	 */
	public record Specification(String model, String version, long seed, long baseSeed, int ownChunkInterval,
			long totalBytes, int chunkBytes) {

		public Specification {
			Objects.requireNonNull(model, "model must not be null");
			Objects.requireNonNull(version, "version must not be null");
			if (totalBytes <= 0 || chunkBytes <= 0 || chunkBytes % Long.BYTES != 0 || ownChunkInterval <= 0) {
				throw new IllegalArgumentException(
						"totalBytes, chunkBytes and ownChunkInterval must be positive, and chunkBytes must be a multiple of 8");
			}
		}

		/**
		 * Creates a specification whose chunks are all specific to the version.
		 * @param model the model
		 * @param version the version
		 * @param seed the seed
		 * @param totalBytes the total size
		 * @param chunkBytes the size of a chunk, a multiple of 8
		 * @return the specification, never null
		 */
		public static Specification of(String model, String version, long seed, long totalBytes, int chunkBytes) {
			return new Specification(model, version, seed, seed, 1, totalBytes, chunkBytes);
		}

		long seedOf(long chunk) {
			return (chunk % this.ownChunkInterval == 0) ? this.seed : this.baseSeed;
		}

	}

}
