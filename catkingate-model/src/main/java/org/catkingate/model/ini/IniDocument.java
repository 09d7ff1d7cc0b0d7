package org.catkingate.model.ini;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * The sections of an INI text. Values are kept literally, without interpolation.
 * Immutable and safe for use by any thread.
 *
 * @since 0.1
 */
public final class IniDocument {

	private static final String SEPARATOR = "=";

	private final List<Section> sections;

	private IniDocument(List<Section> sections) {
		this.sections = List.copyOf(sections);
	}

	/**
	 * Parses an INI text.
	 * @param text the text
	 * @param problems collects the problems
	 * @return the document with all sections that could be parsed, never null
	 */
	public static IniDocument parse(String text, ProblemCollector problems) {
		INIConfiguration ini = new INIConfiguration();
		ini.setSeparatorUsedInInput(SEPARATOR);
		try {
			ini.read(new StringReader(text));
		}
		catch (ConfigurationException | IOException | RuntimeException ex) {
			problems.add(ConfigurationProblem.Kind.MALFORMED, "", "", "", "write INI: [section] lines and key = value");
			return new IniDocument(List.of());
		}
		List<Section> sections = new ArrayList<>();
		for (ImmutableNode node : ini.getNodeModel().getInMemoryRepresentation().getChildren()) {
			if (node.getValue() != null) {
				problems.add(ConfigurationProblem.Kind.MALFORMED, "", node.getNodeName(),
						String.valueOf(node.getValue()), "write every key below a [section] line");
			}
			else {
				sections.add(createSection(node, problems));
			}
		}
		return new IniDocument(sections);
	}

	private static Section createSection(ImmutableNode node, ProblemCollector problems) {
		Map<String, String> values = new LinkedHashMap<>();
		for (ImmutableNode child : node.getChildren()) {
			String value = String.valueOf(child.getValue()).strip();
			if (values.put(child.getNodeName(), value) != null) {
				problems.add(ConfigurationProblem.Kind.DUPLICATE, node.getNodeName(), child.getNodeName(), value,
						"write the key once in its section");
			}
		}
		return new Section(node.getNodeName().strip().replaceAll("\\s+", " "), values);
	}

	/**
	 * Returns the sections.
	 * @return the sections, in the order of the text
	 */
	public List<Section> sections() {
		return this.sections;
	}

	/**
	 * A section. Immutable.
	 *
	 * @param title the text between the brackets
	 * @param values the value of each key, in the order of the text
	 */
	public record Section(String title, Map<String, String> values) {

		/**
		 * Returns the kind of the section, which is the first word of the title.
		 * @return the kind
		 */
		public String kind() {
			int blank = this.title.indexOf(' ');
			return (blank < 0) ? this.title : this.title.substring(0, blank);
		}

		/**
		 * Returns the name of the section, which is the title without its first word.
		 * @return the name, or an empty string if there is none
		 */
		public String name() {
			int blank = this.title.indexOf(' ');
			return (blank < 0) ? "" : this.title.substring(blank + 1).strip();
		}

	}

}
