package org.catkingate.model.ini;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * Gathers faults. For use by one thread.
 *
 * @since 0.1
 */
public final class Problems {

	private static final int MAX_SUGGESTION_DISTANCE = 4;

	private final List<ConfigurationProblem> found = new ArrayList<>();

	/**
	 * Adds a fault.
	 * @param kind what is wrong
	 * @param section the section's title, or empty
	 * @param key the key, or empty
	 * @param value the value seen, or empty
	 * @param remedy what to write instead
	 */
	public void add(ConfigurationProblem.Kind kind, String section, String key, String value, String remedy) {
		this.found.add(new ConfigurationProblem(kind, section, key, value, remedy));
	}

	/**
	 * Ends the reading.
	 * @throws InvalidConfigurationException if there is any fault
	 */
	public void throwIfAny() throws InvalidConfigurationException {
		if (!this.found.isEmpty()) {
			throw new InvalidConfigurationException(this.found);
		}
	}

	/**
	 * Finds the known name that was probably meant.
	 * @param seen the name seen
	 * @param known the names that would do
	 * @return a remedy that names it, or all of them
	 */
	public static String suggest(String seen, Collection<String> known) {
		if (known.isEmpty()) {
			return "none is defined";
		}
		LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
		String nearest = known.stream()
			.min(Comparator.<String>comparingInt((name) -> distance.apply(seen, name)).thenComparing((name) -> name))
			.orElseThrow();
		if (distance.apply(seen, nearest) <= MAX_SUGGESTION_DISTANCE) {
			return "did you mean '" + nearest + "'?";
		}
		return "known are " + String.join(", ", known);
	}

}
