package org.catkingate.model;

import java.util.Objects;
import java.util.regex.Pattern;

/**
 * A validator of names. Stateless.
 */
final class NameValidator {

	private static final Pattern VALID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

	private NameValidator() {
	}

	static void check(String kind, String value) {
		Objects.requireNonNull(value, () -> kind + " name must not be null");
		if (!VALID.matcher(value).matches()) {
			throw new IllegalArgumentException(kind + " name '" + abbreviate(value)
					+ "' must have 1 to 128 letters, digits, dots, dashes or underscores and start with a letter or digit");
		}
	}

	private static String abbreviate(String value) {
		return (value.length() <= 40) ? value : value.substring(0, 40) + "...";
	}

}
