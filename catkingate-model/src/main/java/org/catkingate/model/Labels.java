package org.catkingate.model;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The labels of an instance, a runner or a client account. Immutable and safe for use by
 * any thread.
 *
 * @param values the value of each label, sorted by label
 * @since 0.1
 */
public record Labels(SortedMap<String, String> values) {

	private static final Labels NONE = new Labels(new TreeMap<>());

	public Labels {
		Objects.requireNonNull(values, "labels must not be null");
		values.forEach(Labels::check);
		values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
	}

	/**
	 * Returns the empty set of labels.
	 * @return no labels, never null
	 */
	public static Labels none() {
		return NONE;
	}

	/**
	 * Creates labels from a map, which is copied.
	 * @param values the value of each label, never null
	 * @return the labels, never null
	 */
	public static Labels of(Map<String, String> values) {
		return new Labels(new TreeMap<>(values));
	}

	/**
	 * Parses the text form: {@code label=value} terms separated by {@code &}. Blank text
	 * yields no labels.
	 * @param text the text form, never null
	 * @return the labels, never null
	 * @throws SelectorException if the text is malformed
	 */
	public static Labels parse(String text) throws SelectorException {
		Objects.requireNonNull(text, "labels must not be null");
		if (text.isBlank()) {
			return none();
		}
		SortedMap<String, String> values = new TreeMap<>();
		for (Selector.Term term : Selector.parse(text).terms()) {
			if (!term.included() || term.values().size() != 1
					|| values.put(term.label(), term.values().iterator().next()) != null) {
				throw new SelectorException(term.toString());
			}
		}
		return new Labels(values);
	}

	private static void check(String label, String value) {
		NameValidator.check("label", label);
		NameValidator.check("value of label " + label, value);
	}

	/**
	 * Returns the value of a label.
	 * @param label the label
	 * @return the value, or empty if the label is absent
	 */
	public Optional<String> value(String label) {
		return Optional.ofNullable(this.values.get(label));
	}

	/**
	 * Returns a copy with additional labels, which replace those of the same name.
	 * @param more the labels to add
	 * @return the union, never null
	 */
	public Labels with(Map<String, String> more) {
		SortedMap<String, String> union = new TreeMap<>(this.values);
		union.putAll(more);
		return new Labels(union);
	}

}
