package org.catkingate.model.ini;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown if settings or a published configuration are invalid and must not be applied. It
 * lists all problems found.
 *
 * @since 0.1
 */
public class InvalidConfigurationException extends Exception {

	private static final long serialVersionUID = 1L;

	/** The problems. */
	private final transient List<ConfigurationProblem> problems;

	public InvalidConfigurationException(List<ConfigurationProblem> problems) {
		super(formatMessage(problems));
		this.problems = List.copyOf(problems);
	}

	/**
	 * Creates an exception for a problem that is not in a section.
	 * @param kind the kind of problem
	 * @param remedy the description of the problem and how to correct it
	 * @return the exception, never null
	 */
	public static InvalidConfigurationException of(ConfigurationProblem.Kind kind, String remedy) {
		return new InvalidConfigurationException(List.of(new ConfigurationProblem(kind, "", "", "", remedy)));
	}

	private static String formatMessage(List<ConfigurationProblem> problems) {
		return "configuration has " + problems.size() + " problem(s); correct them and publish a higher revision:\n"
				+ problems.stream().map(ConfigurationProblem::toString).collect(Collectors.joining("\n"));
	}

	/**
	 * Returns the problems.
	 * @return all problems found, in the order of the text; never empty
	 */
	public List<ConfigurationProblem> problems() {
		return this.problems;
	}

}
