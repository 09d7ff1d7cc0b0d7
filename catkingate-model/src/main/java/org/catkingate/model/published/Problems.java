package org.catkingate.model.published;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * Gathers faults. For use by one thread.
 */
final class Problems {

	private static final int FARTHEST_SUGGESTION = 4;

	private final List<ConfigurationProblem> found = new ArrayList<>();

	void add(ConfigurationProblem.Kind kind, String section, String key, String value, String remedy) {
		this.found.add(new ConfigurationProblem(kind, section, key, value, remedy));
	}

	void throwIfAny() throws InvalidConfigurationException {
		if (!this.found.isEmpty()) {
			throw new InvalidConfigurationException(this.found);
		}
	}

	static String suggest(String seen, Collection<String> known) {
		if (known.isEmpty()) {
			return "none is defined";
		}
		LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
		String nearest = known.stream()
			.min(Comparator.<String>comparingInt((name) -> distance.apply(seen, name)).thenComparing((name) -> name))
			.orElseThrow();
		if (distance.apply(seen, nearest) <= FARTHEST_SUGGESTION) {
			return "did you mean '" + nearest + "'?";
		}
		return "known are " + String.join(", ", known);
	}

}
