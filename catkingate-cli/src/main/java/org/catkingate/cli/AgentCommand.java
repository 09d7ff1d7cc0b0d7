package org.catkingate.cli;

import java.io.IOException;

import com.beust.jcommander.Parameters;

import org.catkingate.agent.AgentProcess;
import org.catkingate.model.Role;
import org.catkingate.runtime.process.RunningProcess;
import org.catkingate.runtime.settings.ProcessSettings;

/**
 * Runs an agent.
 */
@Parameters(commandDescription = "Stand beside the backend servers of one instance")
final class AgentCommand extends ProcessCommand {

	AgentCommand() {
		super(Role.AGENT);
	}

	@Override
	RunningProcess start(ProcessSettings settings) throws IOException {
		return AgentProcess.start(settings);
	}

}
