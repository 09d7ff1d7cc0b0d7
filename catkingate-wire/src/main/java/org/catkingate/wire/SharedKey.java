package org.catkingate.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret key that all processes of a deployment share and with which they
 * authenticate to each other. Immutable and safe for use by any thread. The text form
 * does not contain the key.
 *
 * @since 0.1
 */
public final class SharedKey {

	/** The minimum length of a key, in bytes. */
	public static final int MIN_BYTES = 16;

	private static final String ALGORITHM = "HmacSHA256";

	private final SecretKeySpec key;

	private SharedKey(SecretKeySpec key) {
		this.key = key;
	}

	/**
	 * Creates a key from its text.
	 * @param secret the secret, at least 16 bytes in UTF-8
	 * @return the key, never null
	 */
	public static SharedKey of(String secret) {
		byte[] bytes = secret.getBytes(StandardCharsets.UTF_8);
		if (bytes.length < MIN_BYTES) {
			throw new IllegalArgumentException("shared key must have at least " + MIN_BYTES + " bytes");
		}
		return new SharedKey(new SecretKeySpec(bytes, ALGORITHM));
	}

	byte[] computeProof(HandshakeMessage.Hello sender, HandshakeMessage.Hello receiver) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.key);
			mac.update(MessageCodec.encode(sender));
			mac.update(MessageCodec.encode(receiver));
			return mac.doFinal();
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(
					"this Java runtime does not support " + ALGORITHM + "; install one that does", ex);
		}
	}

	boolean isValidProof(HandshakeMessage.Proof proof, HandshakeMessage.Hello sender, HandshakeMessage.Hello receiver) {
		return MessageDigest.isEqual(proof.mac(), computeProof(sender, receiver));
	}

	@Override
	public String toString() {
		return "SharedKey[hidden]";
	}

}
