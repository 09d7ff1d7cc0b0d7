package org.catkingate.model.prompts;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;

import org.catkingate.model.Digest;

/**
 * Identifies a request that comes again: the first 128 bits of a SHA-256 digest over its
 * method, host, target, client account and body. It is treated like a part of a prompt,
 * and is distinct from each such part. Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class RequestFingerprint {

	/** No identifier of a part of a prompt starts with it. */
	private static final String PREFIX = "#";

	private static final int BYTES = 16;

	private RequestFingerprint() {
	}

	/**
	 * Computes the fingerprint of a request.
	 * @param fields the method, the host, the target and the client account, each of
	 * which may be null
	 * @param body the body
	 * @return the fingerprint, never null
	 */
	public static String of(List<String> fields, byte[] body) {
		MessageDigest digest = Digest.createSha256();
		for (String field : fields) {
			byte[] bytes = (field != null) ? field.getBytes(StandardCharsets.UTF_8) : new byte[0];
			// the lengths keep the boundaries of the fields apart
			digest.update(ByteBuffer.allocate(Integer.BYTES).putInt((field != null) ? bytes.length : -1).flip());
			digest.update(bytes);
		}
		digest.update(body);
		return PREFIX + HexFormat.of().formatHex(digest.digest(), 0, BYTES);
	}

	/**
	 * Returns whether an identifier is that of a whole request.
	 * @param part the identifier of a part of a prompt or of a request
	 * @return whether it is a fingerprint
	 */
	public static boolean isFingerprint(String part) {
		return part.startsWith(PREFIX);
	}

}
