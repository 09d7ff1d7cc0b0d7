package org.catkingate.model.ini;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * A collector of configuration problems. Not thread-safe.
 *
 * @since 0.1
 */
public final class ProblemCollector {

	private static final int MAX_SUGGESTION_DISTANCE = 4;

	private final List<ConfigurationProblem> found = new ArrayList<>();

	/**
	 * Adds a problem.
	 * @param kind the kind of problem
	 * @param section the title of the section, or empty
	 * @param key the key, or empty
	 * @param value the value found, or empty
	 * @param remedy the description of the problem and how to correct it
	 */
	public void add(ConfigurationProblem.Kind kind, String section, String key, String value, String remedy) {
		add(new ConfigurationProblem(kind, section, key, value, remedy));
	}

	/**
	 * Adds a problem.
	 * @param problem the problem
	 */
	public void add(ConfigurationProblem problem) {
		this.found.add(problem);
	}

	/**
	 * Throws an exception with the collected problems, if there are any.
	 * @throws InvalidConfigurationException if any problem was added
	 */
	public void throwIfAny() throws InvalidConfigurationException {
		if (!this.found.isEmpty()) {
			throw new InvalidConfigurationException(this.found);
		}
	}

	/**
	 * Returns a suggestion for an unknown name: the most similar known name, or all known
	 * names.
	 * @param unknown the unknown name
	 * @param known the known names
	 * @return the suggestion, as part of a remedy
	 */
	public static String suggest(String unknown, Collection<String> known) {
		if (known.isEmpty()) {
			return "none is defined";
		}
		LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
		String nearest = known.stream()
			.min(Comparator.<String>comparingInt((name) -> distance.apply(unknown, name)).thenComparing((name) -> name))
			.orElseThrow();
		if (distance.apply(unknown, nearest) <= MAX_SUGGESTION_DISTANCE) {
			return "did you mean '" + nearest + "'?";
		}
		return "expected one of " + String.join(", ", known);
	}

}
