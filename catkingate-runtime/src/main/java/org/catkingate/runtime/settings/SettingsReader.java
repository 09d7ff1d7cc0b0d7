package org.catkingate.runtime.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.catkingate.model.Role;
import org.catkingate.model.ini.ConfigurationProblem;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.model.ini.SectionReader;

/**
 * A reader for the settings of an entry or an agent. Returns complete settings or reports
 * all problems together. One object reads one text and is used by one thread.
 *
 * @since 0.1
 */
public final class SettingsReader {

	private static final String PROCESS = "process";

	private static final String PLATFORM = "platform";

	private static final String PEERS = "peers";

	private static final String OPERATORS = "operators";

	private static final String SHUTDOWN = "shutdown";

	private static final String CALLERS = "callers";

	private static final String WEIGHTS = "weights";

	private static final String RUNNER = "runner";

	private static final List<String> SHARED_SECTIONS = List.of(PROCESS, PLATFORM, PEERS, OPERATORS, SHUTDOWN);

	private static final Map<Role, List<String>> ROLE_SECTIONS = Map.of(Role.ENTRY, List.of(CALLERS), Role.AGENT,
			List.of(WEIGHTS));

	private final Role role;

	private final SettingsSections sections;

	private SettingsReader(Role role, SettingsSections sections) {
		this.role = role;
		this.sections = sections;
	}

	/**
	 * Reads settings from a file.
	 * @param role the role of the process
	 * @param file the file
	 * @return the settings, never null
	 * @throws InvalidConfigurationException if the settings are invalid; names every
	 * problem
	 */
	public static ProcessSettings read(Role role, Path file) throws InvalidConfigurationException {
		return parse(role, SettingsSections.readText(file));
	}

	/**
	 * Parses settings.
	 * @param role the role of the process
	 * @param text the text
	 * @return the settings, never null
	 * @throws InvalidConfigurationException if the settings are invalid; names every
	 * problem
	 */
	public static ProcessSettings parse(Role role, String text) throws InvalidConfigurationException {
		List<String> knownKinds = new ArrayList<>(SHARED_SECTIONS);
		knownKinds.addAll(ROLE_SECTIONS.get(role));
		List<String> namedKinds = (role == Role.AGENT) ? List.of(RUNNER) : List.of();
		return new SettingsReader(role, SettingsSections.parse(text, knownKinds, namedKinds)).read();
	}

	private ProcessSettings read() throws InvalidConfigurationException {
		ProcessSettings.Process process = SectionParsers.process(reader(PROCESS), this.role);
		ProcessSettings.Platform platform = SectionParsers.platform(reader(PLATFORM));
		ProcessSettings.Peers peers = SectionParsers.peers(reader(PEERS), this.role);
		ProcessSettings.Operators operators = SectionParsers.operators(reader(OPERATORS));
		ProcessSettings.Shutdown shutdown = SectionParsers.shutdown(reader(SHUTDOWN));
		boolean entry = this.role == Role.ENTRY;
		ProcessSettings.Callers callers = entry ? SectionParsers.callers(reader(CALLERS)) : null;
		ProcessSettings.Weights weights = entry ? null : SectionParsers.weights(reader(WEIGHTS));
		List<ProcessSettings.Runner> runners = readRunners();
		this.sections.problems().throwIfAny();
		return new ProcessSettings(process, platform, peers, operators, shutdown, callers, weights, runners);
	}

	private SectionReader reader(String title) {
		return this.sections.reader(title);
	}

	private List<ProcessSettings.Runner> readRunners() {
		List<ProcessSettings.Runner> runners = new ArrayList<>();
		this.sections.readers(RUNNER).forEach((reader) -> runners.add(SectionParsers.runner(reader)));
		if (runners.isEmpty() && this.role == Role.AGENT) {
			this.sections.problems()
				.add(ConfigurationProblem.Kind.MISSING_KEY, RUNNER, "", "",
						"add a [runner NAME] section for each backend server");
		}
		return runners;
	}

}
