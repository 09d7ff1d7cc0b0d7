package org.catkingate.model;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * A SHA-256 digest. Immutable and safe for use by any thread.
 *
 * @param hex 64 lower-case hexadecimal digits
 * @since 0.1
 */
public record Digest(String hex) implements Comparable<Digest> {

	private static final Pattern VALID = Pattern.compile("[0-9a-f]{64}");

	public Digest {
		Objects.requireNonNull(hex, "digest must not be null");
		if (!VALID.matcher(hex).matches()) {
			throw new IllegalArgumentException("digest must have 64 lower-case hexadecimal digits");
		}
	}

	/**
	 * Computes the digest of an array.
	 * @param bytes the bytes to digest, never null
	 * @return the digest, never null
	 */
	public static Digest of(byte[] bytes) {
		return ofHash(createSha256().digest(bytes));
	}

	/**
	 * Computes the digest of the remaining bytes of a buffer without changing its
	 * position.
	 * @param bytes the bytes to digest, never null
	 * @return the digest, never null
	 */
	public static Digest of(ByteBuffer bytes) {
		MessageDigest sha256 = createSha256();
		sha256.update(bytes.duplicate());
		return ofHash(sha256.digest());
	}

	/**
	 * Creates a digest from a computed hash.
	 * @param hash the 32 bytes of the hash
	 * @return the digest, never null
	 */
	public static Digest ofHash(byte[] hash) {
		return new Digest(HexFormat.of().formatHex(hash));
	}

	/**
	 * Creates a new SHA-256 {@link MessageDigest}, for data that arrives in parts.
	 * @return the message digest, never null
	 */
	public static MessageDigest createSha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("this Java runtime does not support SHA-256; install one that does", ex);
		}
	}

	@Override
	public int compareTo(Digest other) {
		return this.hex.compareTo(other.hex);
	}

	@Override
	public String toString() {
		return this.hex;
	}

}
