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
 * The sections of an INI text, as written: nothing is interpolated. Immutable and safe
 * for use by any thread.
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
	 * Parses a text.
	 * @param text the text
	 * @param problems takes the faults
	 * @return the sections that could be read, never null
	 */
	public static IniDocument parse(String text, Problems problems) {
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

	private static Section createSection(ImmutableNode node, Problems problems) {
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
	 * @return the sections, in the order written
	 */
	public List<Section> sections() {
		return this.sections;
	}

	/**
	 * One section. Immutable.
	 *
	 * @param title what stands between the brackets
	 * @param values the value of each key, in the order written
	 */
	public record Section(String title, Map<String, String> values) {

		/**
		 * Returns the first word of the title.
		 * @return the kind of section
		 */
		public String kind() {
			int blank = this.title.indexOf(' ');
			return (blank < 0) ? this.title : this.title.substring(0, blank);
		}

		/**
		 * Returns the title behind its first word.
		 * @return the section's own name, or empty
		 */
		public String name() {
			int blank = this.title.indexOf(' ');
			return (blank < 0) ? "" : this.title.substring(blank + 1).strip();
		}

	}

}
