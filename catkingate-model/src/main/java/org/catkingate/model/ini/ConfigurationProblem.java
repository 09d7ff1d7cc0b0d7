package org.catkingate.model.ini;

import java.util.Objects;

/**
 * One fault of a published configuration. Immutable and safe for use by any thread.
 *
 * @param kind what is wrong
 * @param section the section's title; empty if the fault is of the whole
 * @param key the key; empty if the fault is of the section
 * @param value the value that was seen; empty if there was none
 * @param remedy what to write instead
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
	 * The kinds of fault.
	 */
	public enum Kind {

		/** The text is not INI, or longer than allowed. */
		MALFORMED,

		/** A section whose kind is unknown. */
		UNKNOWN_SECTION,

		/** A key that its section does not have. */
		UNKNOWN_KEY,

		/** A section, key, rule order or account key that stands twice. */
		DUPLICATE,

		/** A key that must be written is absent. */
		MISSING_KEY,

		/** A value of the wrong form or out of range. */
		INVALID_VALUE,

		/** A name that no section defines. */
		UNKNOWN_REFERENCE,

		/** A value that contradicts another section. */
		CONTRADICTION,

		/** A part that the head lists is not there, or has another digest. */
		MISSING_PART

	}

}
