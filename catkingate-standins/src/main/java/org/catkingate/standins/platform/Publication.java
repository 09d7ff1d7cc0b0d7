package org.catkingate.standins.platform;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The keys and values of one published configuration: the parts, followed by the head
 * that refers to them. Immutable.
 *
 * @param values the value of each key, in the order in which they are written
 * @since 0.1
 */
public record Publication(Map<String, String> values) {

	/** The key whose value contains the revision and the digests of its parts. */
	public static final String HEAD_KEY = "head";

	public Publication {
		Objects.requireNonNull(values, "values must not be null");
	}

	/**
	 * Creates a publication.
	 * @param revision the revision
	 * @param parts the parts, in INI format
	 * @return the publication, never null
	 */
	public static Publication of(long revision, List<String> parts) {
		Map<String, String> values = new LinkedHashMap<>();
		for (String part : parts) {
			values.put("parts/" + sha256(part), part);
		}
		String digests = String.join(", ", values.keySet()).replace("parts/", "");
		values.put(HEAD_KEY, "[head]\nrevision = " + revision + "\nparts = " + digests + "\n");
		return new Publication(values);
	}

	private static String sha256(String text) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("this Java runtime lacks SHA-256; install a complete one", ex);
		}
	}

}
