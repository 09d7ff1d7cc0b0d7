package org.catkingate.model.published;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

import org.catkingate.model.Digest;
import org.catkingate.model.Labels;
import org.catkingate.model.Selector;
import org.catkingate.model.SelectorException;

/**
 * Reads the typed values of one section and gathers its faults. A value that is absent or
 * wrong is replaced by a placeholder, so that the rest is checked too; {@link #valid()}
 * tells whether the values can be used. For use by one thread.
 */
final class SectionReader {

	private static final Digest NO_DIGEST = new Digest("0".repeat(Digest.of(new byte[0]).hex().length()));

	private static final Set<String> TRUTHS = Set.of("true", "false");

	private final IniDocument.Section section;

	private final Set<String> titles;

	private final Problems problems;

	private final Set<String> asked = new TreeSet<>();

	private boolean valid = true;

	/**
	 * Starts reading a section.
	 * @param section the section
	 * @param titles the titles of all sections of the publication
	 * @param problems takes the faults
	 */
	SectionReader(IniDocument.Section section, Set<String> titles, Problems problems) {
		this.section = section;
		this.titles = titles;
		this.problems = problems;
	}

	/**
	 * Ends the reading: keys that nobody asked for are unknown.
	 */
	void checkUnknownKeys() {
		for (String key : this.section.values().keySet()) {
			if (!this.asked.contains(key)) {
				report(ConfigurationProblem.Kind.UNKNOWN_KEY, key,
						"no such key here; " + Problems.suggest(key, this.asked));
			}
		}
	}

	boolean valid() {
		return this.valid;
	}

	String title() {
		return this.section.title();
	}

	<T> T named(String kind, Function<String, T> constructor) {
		try {
			return constructor.apply(this.section.name());
		}
		catch (IllegalArgumentException ex) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, "", "write [" + kind + " NAME]; " + ex.getMessage());
			return null;
		}
	}

	String text(String key) {
		String value = find(key);
		if (value == null || value.isEmpty()) {
			report(ConfigurationProblem.Kind.MISSING_KEY, key, "this key must be written");
			return "";
		}
		return value;
	}

	String text(String key, String byDefault) {
		String value = find(key);
		return (value != null) ? value : byDefault;
	}

	int number(String key, int lowest, int highest) {
		String value = text(key);
		return value.isEmpty() ? lowest : parseNumber(key, value, lowest, highest);
	}

	int number(String key, int byDefault, int lowest, int highest) {
		return parseNumber(key, text(key, Integer.toString(byDefault)), lowest, highest);
	}

	private int parseNumber(String key, String value, int lowest, int highest) {
		try {
			int number = Integer.parseInt(value);
			if (number >= lowest && number <= highest) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			// reported below, as a number out of range is
		}
		report(ConfigurationProblem.Kind.INVALID_VALUE, key, "write a whole number from " + lowest + " to " + highest);
		return lowest;
	}

	boolean truth(String key, boolean byDefault) {
		String value = text(key, Boolean.toString(byDefault));
		if (!TRUTHS.contains(value)) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, key, "write true or false");
		}
		return Boolean.parseBoolean(value);
	}

	Digest digest(String key) {
		String value = text(key);
		if (value.isEmpty()) {
			return NO_DIGEST;
		}
		try {
			return new Digest(value);
		}
		catch (IllegalArgumentException ex) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, key, ex.getMessage());
			return NO_DIGEST;
		}
	}

	Selector selector(String key, String byDefault) {
		return parseSelector(key, text(key, byDefault));
	}

	Selector selector(String key) {
		String value = text(key);
		return value.isEmpty() ? Selector.everything() : parseSelector(key, value);
	}

	private Selector parseSelector(String key, String value) {
		try {
			return Selector.parse(value);
		}
		catch (SelectorException ex) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, key, ex.getMessage());
			return Selector.everything();
		}
	}

	Labels labels(String key) {
		try {
			return Labels.parse(text(key, ""));
		}
		catch (SelectorException | IllegalArgumentException ex) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, key, ex.getMessage());
			return Labels.none();
		}
	}

	List<CallPattern> calls(String key) {
		List<CallPattern> patterns = new ArrayList<>();
		for (String item : text(key, "").split(",")) {
			if (!item.isBlank()) {
				patterns.add(call(key, item.strip()));
			}
		}
		return patterns;
	}

	CallPattern call(String key) {
		String value = text(key);
		return value.isEmpty() ? new CallPattern("*", "/*") : call(key, value);
	}

	private CallPattern call(String key, String written) {
		String[] words = written.split("\\s+");
		if (words.length == 2 && words[0].matches("[A-Z]+|\\*") && words[1].startsWith("/")) {
			return new CallPattern(words[0], words[1]);
		}
		report(ConfigurationProblem.Kind.INVALID_VALUE, key, "write METHOD /path, METHOD /prefix* or * /path");
		return new CallPattern("*", "/*");
	}

	<T> T parsed(String key, T placeholder, Function<String, T> constructor) {
		String value = text(key);
		if (value.isEmpty()) {
			return placeholder;
		}
		try {
			return constructor.apply(value);
		}
		catch (IllegalArgumentException ex) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, key, ex.getMessage());
			return placeholder;
		}
	}

	/**
	 * Checks that the section which a key names is there; one with faults of its own is.
	 * @param key the key, whose value has been read
	 * @param kind the kind of section that it names
	 */
	void checkReference(String key, String kind) {
		String name = this.section.values().getOrDefault(key, "").replaceAll("\\s+", " ");
		String prefix = kind + " ";
		if (!name.isEmpty() && !this.titles.contains(prefix + name)) {
			List<String> names = this.titles.stream()
				.filter((title) -> title.startsWith(prefix))
				.map((title) -> title.substring(prefix.length()))
				.sorted()
				.toList();
			report(ConfigurationProblem.Kind.UNKNOWN_REFERENCE, key,
					"no section [" + prefix + name + "]; " + Problems.suggest(name, names));
		}
	}

	void report(ConfigurationProblem.Kind kind, String key, String remedy) {
		this.valid = false;
		String seen = this.section.values().getOrDefault(key, "");
		this.problems.add(kind, title(), key, seen, remedy);
	}

	private String find(String key) {
		this.asked.add(key);
		return this.section.values().get(key);
	}

}
