package org.catkingate.model.ini;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;

import org.catkingate.model.Digest;
import org.catkingate.model.Labels;
import org.catkingate.model.Selector;
import org.catkingate.model.SelectorException;

/**
 * A reader of the typed values of a section. It reports problems instead of throwing
 * exceptions: an invalid value, or an absent one that is required, is replaced by a
 * placeholder, so that the remaining keys are checked too. The values must only be used
 * if {@link #isValid()} returns {@code true}. Not thread-safe.
 *
 * @since 0.1
 */
public final class SectionReader {

	private static final Digest PLACEHOLDER_DIGEST = new Digest("0".repeat(Digest.of(new byte[0]).hex().length()));

	private static final Set<String> BOOLEAN_VALUES = Set.of("true", "false");

	private static final String HIDDEN = "(hidden)";

	private final IniDocument.Section section;

	private final Set<String> titles;

	private final ProblemCollector problems;

	private final Set<String> requestedKeys = new TreeSet<>();

	private final Set<String> secretKeys = new TreeSet<>();

	private boolean valid = true;

	/**
	 * Creates a reader of a section.
	 * @param section the section
	 * @param titles the titles of all sections, to check references
	 * @param problems collects the problems
	 */
	public SectionReader(IniDocument.Section section, Set<String> titles, ProblemCollector problems) {
		this.section = section;
		this.titles = titles;
		this.problems = problems;
	}

	/**
	 * Reports every key that has not been read as unknown. Must be called after all known
	 * keys have been read.
	 */
	public void checkUnknownKeys() {
		for (String key : this.section.values().keySet()) {
			if (!this.requestedKeys.contains(key)) {
				report(ConfigurationProblem.Kind.UNKNOWN_KEY, key,
						"no such key here; " + ProblemCollector.suggest(key, this.requestedKeys));
			}
		}
	}

	/**
	 * Returns whether no problem has been found in this section.
	 * @return {@code true} if the values can be used
	 */
	public boolean isValid() {
		return this.valid;
	}

	/**
	 * Returns the title of the section.
	 * @return the text between the brackets
	 */
	public String title() {
		return this.section.title();
	}

	/**
	 * Reads the name of the section, which is its title without the first word.
	 * @param <T> the type of name
	 * @param kind the kind of section, for the problem's remedy
	 * @param parser converts the name; throws {@link IllegalArgumentException} with the
	 * remedy
	 * @return the name, or null if it is invalid
	 */
	public <T> T name(String kind, Function<String, T> parser) {
		try {
			return parser.apply(this.section.name());
		}
		catch (IllegalArgumentException ex) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, "", "write [" + kind + " NAME]; " + ex.getMessage());
			return null;
		}
	}

	/**
	 * Reads a required text.
	 * @param key the key
	 * @return the text, or an empty string if it is absent
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
	 * Reads an optional text.
	 * @param key the key
	 * @param defaultValue the text to return if the key is absent
	 * @return the text
	 */
	public String text(String key, String defaultValue) {
		String value = findValue(key);
		return (value != null) ? value : defaultValue;
	}

	/**
	 * Reads a required integer.
	 * @param key the key
	 * @param min the minimum, inclusive
	 * @param max the maximum, inclusive
	 * @return the number, or the minimum if it is invalid
	 */
	public int number(String key, int min, int max) {
		String value = text(key);
		return value.isEmpty() ? min : parseNumber(key, value, min, max);
	}

	/**
	 * Reads an optional integer.
	 * @param key the key
	 * @param defaultValue the number to return if the key is absent
	 * @param min the minimum, inclusive
	 * @param max the maximum, inclusive
	 * @return the number, or the minimum if it is invalid
	 */
	public int number(String key, int defaultValue, int min, int max) {
		return parseNumber(key, text(key, Integer.toString(defaultValue)), min, max);
	}

	private int parseNumber(String key, String value, int min, int max) {
		try {
			int number = Integer.parseInt(value);
			if (number >= min && number <= max) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			// reported below, like a number out of range
		}
		report(ConfigurationProblem.Kind.INVALID_VALUE, key, "write a whole number from " + min + " to " + max);
		return min;
	}

	/**
	 * Reads a required limit, of which another system may have computed a fraction. The
	 * fraction is dropped, and a number above the maximum is read as the maximum, so that
	 * the result never exceeds what was written.
	 * @param key the key
	 * @param min the minimum, inclusive
	 * @param max the largest result
	 * @return the number, or the minimum if it is invalid
	 */
	public int limit(String key, int min, int max) {
		String value = text(key);
		if (value.isEmpty()) {
			return min;
		}
		OptionalInt limit = parseLimit(value, min, max);
		if (limit.isEmpty()) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, key, "write a number from " + min + " to " + max);
		}
		return limit.orElse(min);
	}

	/**
	 * Reads a limit like {@link #limit(String, int, int)}, which is replaced by a safe
	 * value if it is invalid.
	 * @param key the key
	 * @param defaultText the text to read if the key is absent, empty if it is required
	 * @param min the minimum, inclusive
	 * @param max the largest result
	 * @param safeValue the value that causes no harm whatever was meant
	 * @param replaced receives the problem if the safe value is used
	 * @return the number, or the safe value
	 */
	public int limitOrElse(String key, String defaultText, int min, int max, int safeValue,
			Consumer<ConfigurationProblem> replaced) {
		String value = text(key, defaultText);
		return parseLimit(value, min, max).orElseGet(() -> {
			replaced.accept(new ConfigurationProblem(ConfigurationProblem.Kind.INVALID_VALUE, title(), key, value,
					"write a number from " + min + " to " + max));
			return safeValue;
		});
	}

	private static OptionalInt parseLimit(String value, int min, int max) {
		try {
			BigDecimal limit = new BigDecimal(value);
			return (limit.compareTo(BigDecimal.valueOf(min)) < 0) ? OptionalInt.empty()
					: OptionalInt.of(limit.min(BigDecimal.valueOf(max)).intValue());
		}
		catch (NumberFormatException ex) {
			return OptionalInt.empty();
		}
	}

	/**
	 * Reads an optional boolean.
	 * @param key the key
	 * @param defaultValue the value to return if the key is absent
	 * @return the value
	 */
	public boolean booleanValue(String key, boolean defaultValue) {
		String value = text(key, Boolean.toString(defaultValue));
		if (!BOOLEAN_VALUES.contains(value)) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, key, "write true or false");
		}
		return Boolean.parseBoolean(value);
	}

	/**
	 * Reads a required digest.
	 * @param key the key
	 * @return the digest, or an all-zero digest if it is absent or invalid
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
	 * Reads an optional selector.
	 * @param key the key
	 * @param defaultValue the text form to parse if the key is absent
	 * @return the selector, or one that matches everything if it is invalid
	 */
	public Selector selector(String key, String defaultValue) {
		return parseSelector(key, text(key, defaultValue));
	}

	/**
	 * Reads a required selector.
	 * @param key the key
	 * @return the selector, or one that matches everything if it is invalid
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
	 * Reads optional labels.
	 * @param key the key
	 * @return the labels; none if they are absent or invalid
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
	 * Reads an optional comma-separated list.
	 * @param <T> the type of item
	 * @param key the key
	 * @param parser converts an item; throws {@link IllegalArgumentException} with the
	 * remedy
	 * @return the valid items
	 */
	public <T> List<T> list(String key, Function<String, T> parser) {
		List<T> items = new ArrayList<>();
		for (String item : text(key, "").split(",")) {
			if (!item.isBlank()) {
				addItem(items, key, item.strip(), parser);
			}
		}
		return items;
	}

	private <T> void addItem(List<T> items, String key, String text, Function<String, T> parser) {
		try {
			items.add(parser.apply(text));
		}
		catch (IllegalArgumentException ex) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, key, ex.getMessage());
		}
	}

	/**
	 * Reads a required value.
	 * @param <T> the type of value
	 * @param key the key
	 * @param placeholder the value to return if the key is absent or its value invalid
	 * @param parser converts the text; throws {@link IllegalArgumentException} with the
	 * remedy
	 * @return the value, or the placeholder
	 */
	public <T> T value(String key, T placeholder, Function<String, T> parser) {
		String value = text(key);
		return value.isEmpty() ? placeholder : value(key, placeholder, value, parser);
	}

	/**
	 * Reads a required secret value, which is never shown in a problem.
	 * @param <T> the type of value
	 * @param key the key
	 * @param parser converts the text; throws {@link IllegalArgumentException} with the
	 * remedy
	 * @return the value, or null if it is absent or invalid
	 */
	public <T> T secret(String key, Function<String, T> parser) {
		this.secretKeys.add(key);
		return value(key, null, parser);
	}

	/**
	 * Converts a text that has been read before.
	 * @param <T> the type of value
	 * @param key the key
	 * @param placeholder the value to return if the text is invalid
	 * @param text the text
	 * @param parser converts the text; throws {@link IllegalArgumentException} with the
	 * remedy
	 * @return the value, or the placeholder
	 */
	public <T> T value(String key, T placeholder, String text, Function<String, T> parser) {
		try {
			return parser.apply(text);
		}
		catch (IllegalArgumentException ex) {
			report(ConfigurationProblem.Kind.INVALID_VALUE, key, ex.getMessage());
			return placeholder;
		}
	}

	/**
	 * Checks that the section to which a key refers exists. A section that contains
	 * problems counts as existing.
	 * @param key the key, which must have been read
	 * @param kind the kind of section to which it refers
	 */
	public void checkReference(String key, String kind) {
		checkDefined(key, kind, this.section.values().getOrDefault(key, "").replaceAll("\\s+", " "));
	}

	/**
	 * Checks that a section exists. A section that contains problems counts as existing.
	 * @param key the key that refers to it
	 * @param kind the kind of section
	 * @param name the name of the section; an empty name is not checked
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
					"no section [" + prefix + name + "]; " + ProblemCollector.suggest(name, names));
		}
	}

	/**
	 * Reports a problem in this section.
	 * @param kind the kind of problem
	 * @param key the key, or empty
	 * @param remedy the description of the problem and how to correct it
	 */
	public void report(ConfigurationProblem.Kind kind, String key, String remedy) {
		this.valid = false;
		String value = this.secretKeys.contains(key) ? HIDDEN : this.section.values().getOrDefault(key, "");
		this.problems.add(kind, title(), key, value, remedy);
	}

	private String findValue(String key) {
		this.requestedKeys.add(key);
		return this.section.values().get(key);
	}

}
