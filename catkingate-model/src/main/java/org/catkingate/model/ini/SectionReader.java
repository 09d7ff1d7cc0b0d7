package org.catkingate.model.ini;

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
 * wrong is replaced by a placeholder, so that the rest is checked too; {@link #isValid()}
 * tells whether the values can be used. For use by one thread.
 *
 * @since 0.1
 */
public final class SectionReader {

	private static final Digest PLACEHOLDER_DIGEST = new Digest("0".repeat(Digest.of(new byte[0]).hex().length()));

	private static final Set<String> BOOLEAN_VALUES = Set.of("true", "false");

	private static final String HIDDEN = "(hidden)";

	private final IniDocument.Section section;

	private final Set<String> titles;

	private final Problems problems;

	private final Set<String> requestedKeys = new TreeSet<>();

	private final Set<String> secret = new TreeSet<>();

	private boolean valid = true;

	/**
	 * Starts reading a section.
	 * @param section the section
	 * @param titles the titles of all sections of the publication
	 * @param problems takes the faults
	 */
	public SectionReader(IniDocument.Section section, Set<String> titles, Problems problems) {
		this.section = section;
		this.titles = titles;
		this.problems = problems;
	}

	/**
	 * Ends the reading: keys that nobody asked for are unknown.
	 */
	public void checkUnknownKeys() {
		for (String key : this.section.values().keySet()) {
			if (!this.requestedKeys.contains(key)) {
				report(ConfigurationProblem.Kind.UNKNOWN_KEY, key,
						"no such key here; " + Problems.suggest(key, this.requestedKeys));
			}
		}
	}

	/**
	 * Tells whether no fault has been found.
	 * @return whether the values can be used
	 */
	public boolean isValid() {
		return this.valid;
	}

	/**
	 * Returns the section's title.
	 * @return what stands between the brackets
	 */
	public String title() {
		return this.section.title();
	}

	/**
	 * Makes a name from the title behind its first word.
	 * @param <T> the type of name
	 * @param kind the kind of section, for the remedy
	 * @param constructor makes the name; throws {@link IllegalArgumentException} with the
	 * remedy
	 * @return the name, or null if it is wrong
	 */
	public <T> T named(String kind, Function<String, T> constructor) {
		try {
			return constructor.apply(this.section.name());
		}
		catch (IllegalArgumentException ex) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, "", "write [" + kind + " NAME]; " + ex.getMessage());
			return null;
		}
	}

	/**
	 * Reads a text that must be written.
	 * @param key the key
	 * @return the text, or empty if it is absent
	 */
	public String text(String key) {
		String value = findValue(key);
		if (value == null || value.isEmpty()) {
			report(ConfigurationProblem.Kind.MISSING_KEY, key, "this key must be written");
			return "";
		}
		return value;
	}

	/**
	 * Reads a text.
	 * @param key the key
	 * @param byDefault the text if it is absent
	 * @return the text
	 */
	public String text(String key, String byDefault) {
		String value = findValue(key);
		return (value != null) ? value : byDefault;
	}

	/**
	 * Reads a whole number that must be written.
	 * @param key the key
	 * @param lowest the lowest allowed
	 * @param highest the highest allowed
	 * @return the number, or the lowest if it is wrong
	 */
	public int number(String key, int lowest, int highest) {
		String value = text(key);
		return value.isEmpty() ? lowest : parseNumber(key, value, lowest, highest);
	}

	/**
	 * Reads a whole number.
	 * @param key the key
	 * @param byDefault the number if it is absent
	 * @param lowest the lowest allowed
	 * @param highest the highest allowed
	 * @return the number, or the lowest if it is wrong
	 */
	public int number(String key, int byDefault, int lowest, int highest) {
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

	/**
	 * Reads true or false.
	 * @param key the key
	 * @param byDefault the value if it is absent
	 * @return the value
	 */
	public boolean booleanValue(String key, boolean byDefault) {
		String value = text(key, Boolean.toString(byDefault));
		if (!BOOLEAN_VALUES.contains(value)) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, key, "write true or false");
		}
		return Boolean.parseBoolean(value);
	}

	/**
	 * Reads a digest that must be written.
	 * @param key the key
	 * @return the digest, or one of zeros if it is wrong
	 */
	public Digest digest(String key) {
		String value = text(key);
		if (value.isEmpty()) {
			return PLACEHOLDER_DIGEST;
		}
		try {
			return new Digest(value);
		}
		catch (IllegalArgumentException ex) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, key, ex.getMessage());
			return PLACEHOLDER_DIGEST;
		}
	}

	/**
	 * Reads a selector.
	 * @param key the key
	 * @param byDefault the written form if it is absent
	 * @return the selector, or the one for everything if it is wrong
	 */
	public Selector selector(String key, String byDefault) {
		return parseSelector(key, text(key, byDefault));
	}

	/**
	 * Reads a selector that must be written.
	 * @param key the key
	 * @return the selector, or the one for everything if it is wrong
	 */
	public Selector selector(String key) {
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

	/**
	 * Reads labels.
	 * @param key the key
	 * @return the labels, or none if they are absent or wrong
	 */
	public Labels labels(String key) {
		try {
			return Labels.parse(text(key, ""));
		}
		catch (SelectorException | IllegalArgumentException ex) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, key, ex.getMessage());
			return Labels.none();
		}
	}

	/**
	 * Reads items with commas between them.
	 * @param <T> the type of item
	 * @param key the key
	 * @param constructor makes an item; throws {@link IllegalArgumentException} with the
	 * remedy
	 * @return the items that are right
	 */
	public <T> List<T> list(String key, Function<String, T> constructor) {
		List<T> items = new ArrayList<>();
		for (String item : text(key, "").split(",")) {
			if (!item.isBlank()) {
				addItem(items, key, item.strip(), constructor);
			}
		}
		return items;
	}

	private <T> void addItem(List<T> items, String key, String written, Function<String, T> constructor) {
		try {
			items.add(constructor.apply(written));
		}
		catch (IllegalArgumentException ex) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, key, ex.getMessage());
		}
	}

	/**
	 * Reads a value that must be written.
	 * @param <T> the type of value
	 * @param key the key
	 * @param placeholder what to return if the value is absent or wrong
	 * @param constructor makes the value; throws {@link IllegalArgumentException} with
	 * the remedy
	 * @return the value, or the placeholder
	 */
	public <T> T parsed(String key, T placeholder, Function<String, T> constructor) {
		String value = text(key);
		return value.isEmpty() ? placeholder : parsed(key, placeholder, value, constructor);
	}

	/**
	 * Reads a value that must be written and that no fault may show.
	 * @param <T> the type of value
	 * @param key the key
	 * @param constructor makes the value; throws {@link IllegalArgumentException} with
	 * the remedy
	 * @return the value, or null if it is absent or wrong
	 */
	public <T> T secret(String key, Function<String, T> constructor) {
		this.secret.add(key);
		return parsed(key, null, constructor);
	}

	/**
	 * Makes a value from a text that has been read already.
	 * @param <T> the type of value
	 * @param key the key
	 * @param placeholder what to return if the value is wrong
	 * @param written the text
	 * @param constructor makes the value; throws {@link IllegalArgumentException} with
	 * the remedy
	 * @return the value, or the placeholder
	 */
	public <T> T parsed(String key, T placeholder, String written, Function<String, T> constructor) {
		try {
			return constructor.apply(written);
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
	public void checkReference(String key, String kind) {
		checkDefined(key, kind, this.section.values().getOrDefault(key, "").replaceAll("\\s+", " "));
	}

	/**
	 * Checks that a section is there; one with faults of its own is.
	 * @param key the key that names it
	 * @param kind the kind of section
	 * @param name its name; empty names none
	 */
	public void checkDefined(String key, String kind, String name) {
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

	/**
	 * Reports a fault of this section.
	 * @param kind what is wrong
	 * @param key the key, or empty
	 * @param remedy what to write instead
	 */
	public void report(ConfigurationProblem.Kind kind, String key, String remedy) {
		this.valid = false;
		String seen = this.secret.contains(key) ? HIDDEN : this.section.values().getOrDefault(key, "");
		this.problems.add(kind, title(), key, seen, remedy);
	}

	private String findValue(String key) {
		this.requestedKeys.add(key);
		return this.section.values().get(key);
	}

}
