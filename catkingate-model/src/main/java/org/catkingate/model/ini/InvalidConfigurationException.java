package org.catkingate.model.ini;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A published configuration that must not be adopted. It names every fault at once.
 *
 * @since 0.1
 */
public class InvalidConfigurationException extends Exception {

	private static final long serialVersionUID = 1L;

	/** The faults. */
	private final transient List<ConfigurationProblem> problems;

	public InvalidConfigurationException(List<ConfigurationProblem> problems) {
		super(formatMessage(problems));
		this.problems = List.copyOf(problems);
	}

	/**
	 * A fault of the whole.
	 * @param kind what is wrong
	 * @param remedy what to do
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
	 * Returns the faults.
	 * @return every fault found, in the order of the text; never empty
	 */
	public List<ConfigurationProblem> problems() {
		return this.problems;
	}

}
