package org.catkingate.decisions.idempotency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import org.catkingate.model.Digest;

/**
 * A hash function that gives the same result in every process and release: the first 64
 * bits of the SHA-256 hash of the texts, each preceded by its length. Stateless.
 */
final class StableHash {

	private StableHash() {
	}

	static long of(String... texts) {
		MessageDigest algorithm = Digest.createSha256();
		for (String text : texts) {
			byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
			algorithm.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
			algorithm.update(bytes);
		}
		return ByteBuffer.wrap(algorithm.digest()).getLong();
	}

}
