package org.catkingate.runtime.settings;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.catkingate.model.Role;
import org.catkingate.model.ini.ConfigurationProblem;
import org.catkingate.model.ini.IniDocument;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.model.ini.Problems;
import org.catkingate.model.ini.SectionReader;

/**
 * Reads the settings of a process: whole, or not at all with every fault named. One
 * object reads one text and is used by one thread.
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

	private static final List<String> SHARED = List.of(PROCESS, PLATFORM, PEERS, OPERATORS, SHUTDOWN);

	private static final Map<Role, List<String>> OF_ROLE = Map.of(Role.ENTRY, List.of(CALLERS), Role.AGENT,
			List.of(WEIGHTS, RUNNER));

	private final Role role;

	private final Problems problems = new Problems();

	private final Map<String, IniDocument.Section> sections = new LinkedHashMap<>();

	private final Set<String> known = new TreeSet<>(SHARED);

	private SettingsReader(Role role) {
		this.role = role;
		this.known.addAll(OF_ROLE.get(role));
	}

	/**
	 * Reads a file.
	 * @param role the role that the process is to play
	 * @param file the file
	 * @return the settings, never null
	 * @throws InvalidConfigurationException if anything is wrong; it names every fault
	 */
	public static ProcessSettings read(Role role, Path file) throws InvalidConfigurationException {
		try {
			return parse(role, Files.readString(file));
		}
		catch (MalformedInputException ex) {
			throw InvalidConfigurationException.of(ConfigurationProblem.Kind.MALFORMED,
					"the file is not UTF-8 text; write INI");
		}
		catch (IOException ex) {
			throw InvalidConfigurationException.of(ConfigurationProblem.Kind.MALFORMED,
					"the file cannot be read (" + ex.getClass().getSimpleName() + "); give one that can");
		}
	}

	/**
	 * Reads a text.
	 * @param role the role that the process is to play
	 * @param text the text
	 * @return the settings, never null
	 * @throws InvalidConfigurationException if anything is wrong; it names every fault
	 */
	public static ProcessSettings parse(Role role, String text) throws InvalidConfigurationException {
		return new SettingsReader(role).read(text);
	}

	private ProcessSettings read(String text) throws InvalidConfigurationException {
		IniDocument.parse(text, this.problems).sections().forEach(this::add);
		ProcessSettings.Process process = SettingsForms.process(reader(PROCESS), this.role);
		ProcessSettings.Platform platform = SettingsForms.platform(reader(PLATFORM));
		ProcessSettings.Peers peers = SettingsForms.peers(reader(PEERS), this.role);
		ProcessSettings.Operators operators = SettingsForms.operators(reader(OPERATORS));
		ProcessSettings.Shutdown shutdown = SettingsForms.shutdown(reader(SHUTDOWN));
		boolean entry = this.role == Role.ENTRY;
		ProcessSettings.Callers callers = entry ? SettingsForms.callers(reader(CALLERS)) : null;
		ProcessSettings.Weights weights = entry ? null : SettingsForms.weights(reader(WEIGHTS));
		List<ProcessSettings.Runner> runners = readRunners();
		this.problems.throwIfAny();
		return new ProcessSettings(process, platform, peers, operators, shutdown, callers, weights, runners);
	}

	private void add(IniDocument.Section section) {
		if (!this.known.contains(section.kind())) {
			this.problems.add(ConfigurationProblem.Kind.UNKNOWN_SECTION, section.title(), "", "",
					"no such section for this role; " + Problems.suggest(section.kind(), this.known));
			return;
		}
		if (!section.kind().equals(RUNNER) && !section.name().isEmpty()) {
			this.problems.add(ConfigurationProblem.Kind.UNKNOWN_SECTION, section.title(), "", "",
					"write [" + section.kind() + "]");
			return;
		}
		if (this.sections.put(section.title(), section) != null) {
			this.problems.add(ConfigurationProblem.Kind.DUPLICATE, section.title(), "", "", "write the section once");
		}
	}

	private SectionReader reader(String title) {
		IniDocument.Section section = this.sections.getOrDefault(title, new IniDocument.Section(title, Map.of()));
		return new SectionReader(section, this.sections.keySet(), this.problems);
	}

	private List<ProcessSettings.Runner> readRunners() {
		List<ProcessSettings.Runner> runners = new ArrayList<>();
		for (IniDocument.Section section : this.sections.values()) {
			if (section.kind().equals(RUNNER)) {
				runners.add(SettingsForms.runner(reader(section.title())));
			}
		}
		if (runners.isEmpty() && this.role == Role.AGENT) {
			this.problems.add(ConfigurationProblem.Kind.MISSING_KEY, RUNNER, "", "",
					"write a [runner NAME] section for each backend server");
		}
		return runners;
	}

}
