package org.catkingate.decisions.publishing;

import java.util.Objects;

/**
 * Something about a configuration that its author should know before it is published.
 * Immutable; does not contain keys.
 *
 * @param kind the kind
 * @param entry the entry
 * @param description what was found and what it causes
 * @since 0.1
 */
public record Finding(Kind kind, String entry, String description) {

	public Finding {
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(entry, "entry must not be null");
		Objects.requireNonNull(description, "description must not be null");
	}

	@Override
	public String toString() {
		return this.kind.label + ": " + this.entry + ": " + this.description;
	}

	/**
	 * The kinds of findings.
	 */
	public enum Kind {

		/** Gateways reject the configuration, or a part of it cannot work. */
		ERROR("error"),

		/** An entry that can never match. */
		NEVER_MATCHES("never matches"),

		/** Limits that contradict each other. */
		CONTRADICTION("contradiction"),

		/** A difference from the version in force, which is no fault. */
		CHANGE("change");

		private final String label;

		Kind(String label) {
			this.label = label;
		}

		/**
		 * Returns whether the configuration should not be published as it is.
		 * @return whether this is a fault
		 */
		public boolean isFault() {
			return this != CHANGE;
		}

	}

}
