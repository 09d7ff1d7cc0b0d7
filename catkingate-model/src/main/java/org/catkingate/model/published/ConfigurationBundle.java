package org.catkingate.model.published;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;
import org.catkingate.model.ini.ConfigurationProblem;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.model.ini.ProblemCollector;

/**
 * The complete content of a publication: the head and the parts that it lists. The digest
 * of each part matches the head. Immutable and safe for use by any thread, provided that
 * callers do not modify the arrays.
 *
 * @param version the version of the head
 * @param head the bytes of the head
 * @param parts the bytes of each part by digest, in the order of the head
 * @since 0.1
 */
public record ConfigurationBundle(ConfigurationVersion version, byte[] head, Map<Digest, byte[]> parts) {

	/** The key under which the head is published. */
	public static final String HEAD_KEY = "head";

	private static final String PART_KEY_PREFIX = "parts/";

	public ConfigurationBundle {
		Objects.requireNonNull(version, "version must not be null");
		Objects.requireNonNull(head, "head must not be null");
		parts = Collections.unmodifiableMap(new LinkedHashMap<>(parts));
	}

	/**
	 * Creates a publication from the texts of its parts.
	 * @param revision the revision, greater than 0
	 * @param parts the text of each part
	 * @return the publication, never null; it is not validated
	 */
	public static ConfigurationBundle of(long revision, List<String> parts) {
		Map<Digest, byte[]> byDigest = new LinkedHashMap<>();
		for (String part : parts) {
			byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
			byDigest.put(Digest.of(bytes), bytes);
		}
		String digests = byDigest.keySet().stream().map(Digest::hex).collect(Collectors.joining(", "));
		String text = "[head]\nrevision = " + revision + "\nparts = " + digests + "\n";
		byte[] head = text.getBytes(StandardCharsets.UTF_8);
		return new ConfigurationBundle(new ConfigurationVersion(revision, Digest.of(head)), head, byDigest);
	}

	/**
	 * Assembles a publication from a head and parts.
	 * @param head the bytes of the head
	 * @param available the available parts by digest; may include parts of other
	 * publications
	 * @return the publication, never null; its sections are not validated
	 * @throws InvalidConfigurationException if the head is malformed, or a part is
	 * missing or has a different digest
	 */
	public static ConfigurationBundle assemble(byte[] head, Map<Digest, byte[]> available)
			throws InvalidConfigurationException {
		ConfigurationHead parsed = ConfigurationHead.parse(head);
		ProblemCollector problems = new ProblemCollector();
		Map<Digest, byte[]> parts = new LinkedHashMap<>();
		for (Digest digest : parsed.parts()) {
			byte[] part = available.get(digest);
			if (part == null || !Digest.of(part).equals(digest)) {
				problems.add(ConfigurationProblem.Kind.MISSING_PART, "head", "parts", digest.hex(),
						"publish the part under the key " + partKey(digest) + " before the head");
			}
			parts.put(digest, part);
		}
		problems.throwIfAny();
		return new ConfigurationBundle(parsed.version(), head, parts);
	}

	/**
	 * Returns the key under which a part is published.
	 * @param part the digest of the part
	 * @return the key, never null
	 */
	public static String partKey(Digest part) {
		return PART_KEY_PREFIX + part.hex();
	}

	/**
	 * Parses and validates the publication.
	 * @return the configuration, never null
	 * @throws InvalidConfigurationException if the publication has any problem
	 */
	public PublishedConfiguration parse() throws InvalidConfigurationException {
		List<String> texts = new ArrayList<>();
		for (byte[] part : this.parts.values()) {
			texts.add(new String(part, StandardCharsets.UTF_8));
		}
		return ConfigurationParser.parse(this.version, texts);
	}

}
