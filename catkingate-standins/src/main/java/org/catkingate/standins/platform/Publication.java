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
 * The keys of one published configuration, parts first and the head last. Immutable.
 *
 * @param values the value of each key, in the order of writing
 * @since 0.1
 */
public record Publication(Map<String, String> values) {

	/** The key that names the revision and its parts. */
	public static final String HEAD_KEY = "head";

	public Publication {
		Objects.requireNonNull(values, "values must not be null");
	}

	/**
	 * Composes a publication.
	 * @param revision its revision
	 * @param parts its parts in INI
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
