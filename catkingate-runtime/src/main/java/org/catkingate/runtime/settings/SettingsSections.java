package org.catkingate.runtime.settings;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.catkingate.model.ini.ConfigurationProblem;
import org.catkingate.model.ini.IniDocument;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.model.ini.ProblemCollector;
import org.catkingate.model.ini.SectionReader;

/**
 * The sections of a settings file, each of which may occur once, and the problems found
 * in them. For use by one thread.
 */
final class SettingsSections {

	private final ProblemCollector problems = new ProblemCollector();

	private final Map<String, IniDocument.Section> sections = new LinkedHashMap<>();

	private final Set<String> knownKinds;

	private final Set<String> namedKinds;

	private SettingsSections(Collection<String> knownKinds, Collection<String> namedKinds) {
		this.knownKinds = new TreeSet<>(knownKinds);
		this.knownKinds.addAll(namedKinds);
		this.namedKinds = Set.copyOf(namedKinds);
	}

	/**
	 * Reads a file as text.
	 * @param file the file
	 * @return the text
	 * @throws InvalidConfigurationException if it cannot be read
	 */
	static String readText(Path file) throws InvalidConfigurationException {
		try {
			return Files.readString(file);
		}
		catch (MalformedInputException ex) {
			throw InvalidConfigurationException.of(ConfigurationProblem.Kind.MALFORMED,
					"the file is not UTF-8 text; write an INI file in UTF-8");
		}
		catch (IOException ex) {
			throw InvalidConfigurationException.of(ConfigurationProblem.Kind.MALFORMED,
					"the file cannot be read (" + ex.getClass().getSimpleName() + "); check its path and permissions");
		}
	}

	/**
	 * Parses settings.
	 * @param text the text
	 * @param knownKinds the kinds of section without a name
	 * @param namedKinds the kinds of section with a name
	 * @return the sections, never null
	 */
	static SettingsSections parse(String text, Collection<String> knownKinds, Collection<String> namedKinds) {
		SettingsSections sections = new SettingsSections(knownKinds, namedKinds);
		IniDocument.parse(text, sections.problems).sections().forEach(sections::add);
		return sections;
	}

	private void add(IniDocument.Section section) {
		if (!this.knownKinds.contains(section.kind())) {
			this.problems.add(ConfigurationProblem.Kind.UNKNOWN_SECTION, section.title(), "", "",
					"no such section for this role; " + ProblemCollector.suggest(section.kind(), this.knownKinds));
			return;
		}
		if (!this.namedKinds.contains(section.kind()) && !section.name().isEmpty()) {
			this.problems.add(ConfigurationProblem.Kind.UNKNOWN_SECTION, section.title(), "", "",
					"write [" + section.kind() + "]");
			return;
		}
		if (this.sections.put(section.title(), section) != null) {
			this.problems.add(ConfigurationProblem.Kind.DUPLICATE, section.title(), "", "",
					"the section occurs more than once; write it once");
		}
	}

	SectionReader reader(String title) {
		return new SectionReader(section(title), this.sections.keySet(), this.problems);
	}

	IniDocument.Section section(String title) {
		return this.sections.getOrDefault(title, new IniDocument.Section(title, Map.of()));
	}

	List<SectionReader> readers(String kind) {
		return this.sections.values()
			.stream()
			.filter((section) -> section.kind().equals(kind))
			.map((section) -> reader(section.title()))
			.toList();
	}

	ProblemCollector problems() {
		return this.problems;
	}

}
