package org.catkingate.cli;

import java.io.IOException;
import java.nio.file.Path;

import com.beust.jcommander.Parameters;

import org.catkingate.agent.AgentProcess;
import org.catkingate.model.Role;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.runtime.process.RunningProcess;
import org.catkingate.runtime.settings.ProcessSettings;
import org.catkingate.runtime.settings.SettingsReader;

/**
 * The command that runs an agent.
 */
@Parameters(commandDescription = "Run an agent, which runs requests on the backend servers of one instance")
final class AgentCommand extends ProcessCommand<ProcessSettings> {

	AgentCommand() {
		super("agent");
	}

	@Override
	ProcessSettings read(Path path) throws InvalidConfigurationException {
		return SettingsReader.read(Role.AGENT, path);
	}

	@Override
	RunningProcess start(ProcessSettings settings) throws IOException {
		return AgentProcess.start(settings);
	}

}
