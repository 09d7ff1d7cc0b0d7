package org.catkingate.model.published;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.Digest;
import org.catkingate.model.ini.ConfigurationProblem;
import org.catkingate.model.ini.IniDocument;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.model.ini.ProblemCollector;
import org.catkingate.model.ini.SectionReader;

/**
 * The head of a publication: its version and the digests of its parts. Immutable and safe
 * for use by any thread.
 *
 * @param version the revision and the digest of the bytes of the head
 * @param parts the digests of the parts, in order and without duplicates
 * @since 0.1
 */
public record ConfigurationHead(ConfigurationVersion version, List<Digest> parts) {

	/** The maximum number of parts of a publication. */
	public static final int MAX_PARTS = 256;

	/** The maximum size of a value that the platform stores, in bytes. */
	public static final int MAX_VALUE_BYTES = 1024 * 1024;

	private static final String TITLE = "head";

	public ConfigurationHead {
		Objects.requireNonNull(version, "version must not be null");
		parts = List.copyOf(parts);
	}

	/**
	 * Parses the bytes of a head.
	 * @param bytes the value as published
	 * @return the head, never null
	 * @throws InvalidConfigurationException if the value is not a valid head
	 */
	public static ConfigurationHead parse(byte[] bytes) throws InvalidConfigurationException {
		if (bytes.length > MAX_VALUE_BYTES) {
			throw InvalidConfigurationException.of(ConfigurationProblem.Kind.MALFORMED,
					"the head has " + bytes.length + " bytes; keep every value within " + MAX_VALUE_BYTES);
		}
		ProblemCollector problems = new ProblemCollector();
		IniDocument document = IniDocument.parse(new String(bytes, StandardCharsets.UTF_8), problems);
		ConfigurationHead head = read(document, Digest.of(bytes), problems);
		problems.throwIfAny();
		return head;
	}

	private static ConfigurationHead read(IniDocument document, Digest digest, ProblemCollector problems) {
		List<IniDocument.Section> sections = document.sections();
		if (sections.size() != 1 || !sections.get(0).title().equals(TITLE)) {
			problems.add(ConfigurationProblem.Kind.MISSING_KEY, TITLE, "", "", "write one section [head] and no other");
			return null;
		}
		SectionReader reader = new SectionReader(sections.get(0), Set.of(TITLE), problems);
		long revision = reader.value("revision", 0L, ConfigurationHead::parseRevision);
		List<Digest> parts = reader.value("parts", List.of(), ConfigurationHead::parseDigests);
		reader.checkUnknownKeys();
		return reader.isValid() ? new ConfigurationHead(new ConfigurationVersion(revision, digest), parts) : null;
	}

	private static long parseRevision(String text) {
		try {
			long revision = Long.parseLong(text);
			if (revision > 0) {
				return revision;
			}
		}
		catch (NumberFormatException ex) {
			// reported below, like a number out of range
		}
		throw new IllegalArgumentException("write a whole number greater than 0 and than the last published revision");
	}

	private static List<Digest> parseDigests(String text) {
		List<Digest> digests = new ArrayList<>();
		for (String item : text.split(",")) {
			digests.add(new Digest(item.strip()));
		}
		if (digests.size() > MAX_PARTS) {
			throw new IllegalArgumentException("list at most " + MAX_PARTS + " parts; merge small parts");
		}
		if (new HashSet<>(digests).size() != digests.size()) {
			throw new IllegalArgumentException("list each part once");
		}
		return digests;
	}

}
