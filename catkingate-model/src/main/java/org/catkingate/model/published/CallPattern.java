package org.catkingate.model.published;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * A pattern that matches calls by method and path. Immutable and safe for use by any
 * thread.
 *
 * @param method an HTTP method, or {@code *} for any
 * @param path a path, or a prefix of one followed by {@code *}
 * @since 0.1
 */
public record CallPattern(String method, String path) {

	private static final String ANY = "*";

	private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");

	public CallPattern {
		Objects.requireNonNull(method, "method must not be null");
		Objects.requireNonNull(path, "path must not be null");
		if (!path.startsWith("/")) {
			throw new IllegalArgumentException("path '" + path + "' must start with /");
		}
	}

	/**
	 * Parses the text form.
	 * @param text a method and a path separated by whitespace
	 * @return the pattern, never null
	 * @throws IllegalArgumentException if the text is malformed; the message describes
	 * the expected form
	 */
	public static CallPattern parse(String text) {
		String[] words = text.split("\\s+");
		if (words.length == 2 && words[0].matches("[A-Z]+|\\*") && words[1].startsWith("/")) {
			return new CallPattern(words[0], words[1]);
		}
		throw new IllegalArgumentException("write METHOD /path, METHOD /prefix* or * /path");
	}

	/**
	 * Returns the pattern that matches every call.
	 * @return the pattern, never null
	 */
	static CallPattern everything() {
		return new CallPattern(ANY, "/" + ANY);
	}

	static boolean anyMatches(List<CallPattern> patterns, String method, String path) {
		return patterns.stream().anyMatch((pattern) -> pattern.matches(method, path));
	}

	static boolean isIdempotentMethod(String method) {
		return IDEMPOTENT_METHODS.contains(method);
	}

	/**
	 * Returns whether a call matches this pattern.
	 * @param callMethod the call's HTTP method
	 * @param callPath the call's path without the query
	 * @return {@code true} if method and path match
	 */
	public boolean matches(String callMethod, String callPath) {
		return (this.method.equals(ANY) || this.method.equals(callMethod)) && matchesPath(callPath);
	}

	private boolean matchesPath(String callPath) {
		if (this.path.endsWith(ANY)) {
			return callPath.startsWith(this.path.substring(0, this.path.length() - 1));
		}
		return this.path.equals(callPath);
	}

	@Override
	public String toString() {
		return this.method + " " + this.path;
	}

}
