package org.catkingate.standins.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * A generator of deterministic text. Each token depends only on the prompt, the digest of
 * the weights and the index of the token, so that a test can check which weights produced
 * a response. Stateless.
 *
 * @since 0.1
 */
public final class TokenGenerator {

	private static final long SPLITMIX_INCREMENT = 0x9E3779B97F4A7C15L;

	private static final int TOKEN_DIGITS = 4;

	private static final int RADIX = 32;

	private TokenGenerator() {
	}

	/**
	 * Returns the seed for the tokens of a response.
	 * @param prompt the prompt
	 * @param digest the digest of the weights, in hexadecimal
	 * @return the seed
	 */
	public static long seed(String prompt, String digest) {
		try {
			MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
			sha256.update(digest.getBytes(StandardCharsets.UTF_8));
			return ByteBuffer.wrap(sha256.digest(prompt.getBytes(StandardCharsets.UTF_8))).getLong();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("this Java runtime lacks SHA-256; install a complete one", ex);
		}
	}

	/**
	 * Returns one token.
	 * @param seed the seed of the response
	 * @param index the index of the token, from 0
	 * @return four letters or digits and a space, never null
	 */
	public static String token(long seed, int index) {
		long value = mix(seed + index * SPLITMIX_INCREMENT);
		StringBuilder token = new StringBuilder(TOKEN_DIGITS + 1);
		for (int i = 0; i < TOKEN_DIGITS; i++) {
			token.append(Character.forDigit((int) (value & (RADIX - 1)), RADIX));
			value >>>= 5;
		}
		return token.append(' ').toString();
	}

	/**
	 * Returns the text of a complete response.
	 * @param prompt the prompt
	 * @param digest the digest of the weights, in hexadecimal
	 * @param count the number of tokens
	 * @return the text, never null
	 */
	public static String text(String prompt, String digest, int count) {
		long seed = seed(prompt, digest);
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < count; i++) {
			text.append(token(seed, i));
		}
		return text.toString();
	}

	private static long mix(long value) {
		// the output function of the SplitMix64 generator
		long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return mixed ^ (mixed >>> 31);
	}

}
