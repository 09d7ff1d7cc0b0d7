package org.catkingate.model.ini;

import java.util.Objects;

/**
 * A problem in settings or in a published configuration. Immutable and safe for use by
 * any thread.
 *
 * @param kind the kind of problem
 * @param section the title of the section; empty if the problem is not in a section
 * @param key the key; empty if the problem is not in a single key
 * @param value the value found; empty if there was none. Long values are truncated
 * @param remedy the description of the problem and how to correct it
 * @since 0.1
 */
public record ConfigurationProblem(Kind kind, String section, String key, String value, String remedy) {

	private static final int MAX_VALUE_CHARS = 80;

	public ConfigurationProblem {
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(section, "section must not be null");
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(value, "value must not be null");
		Objects.requireNonNull(remedy, "remedy must not be null");
		value = (value.length() <= MAX_VALUE_CHARS) ? value : value.substring(0, MAX_VALUE_CHARS) + "...";
	}

	@Override
	public String toString() {
		StringBuilder text = new StringBuilder();
		if (!this.section.isEmpty()) {
			text.append('[').append(this.section).append("] ");
		}
		if (!this.key.isEmpty()) {
			text.append(this.key).append(" = ").append(this.value).append(' ');
		}
		return text.append("- ").append(this.remedy).toString();
	}

	/**
	 * The kind of a problem.
	 */
	public enum Kind {

		/** The text is not INI, or exceeds the size limit. */
		MALFORMED,

		/** The kind of a section is unknown. */
		UNKNOWN_SECTION,

		/** A key is not defined for its section. */
		UNKNOWN_KEY,

		/** A section, key, rule order or account key occurs more than once. */
		DUPLICATE,

		/** A required key is absent. */
		MISSING_KEY,

		/** A value is malformed or out of range. */
		INVALID_VALUE,

		/** A value refers to a section that does not exist. */
		UNKNOWN_REFERENCE,

		/** A value contradicts another section. */
		CONTRADICTION,

		/** A part listed in the head is missing or has a different digest. */
		MISSING_PART

	}

}
