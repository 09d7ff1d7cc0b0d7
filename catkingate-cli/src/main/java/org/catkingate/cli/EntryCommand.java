package org.catkingate.cli;

import java.io.IOException;
import java.nio.file.Path;

import com.beust.jcommander.Parameters;

import org.catkingate.entry.EntryProcess;
import org.catkingate.model.Role;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.runtime.process.RunningProcess;
import org.catkingate.runtime.settings.ProcessSettings;
import org.catkingate.runtime.settings.SettingsReader;

/**
 * The command that runs an entry.
 */
@Parameters(commandDescription = "Run an entry, which accepts callers' requests and routes them to agents")
final class EntryCommand extends ProcessCommand<ProcessSettings> {

	EntryCommand() {
		super("entry");
	}

	@Override
	ProcessSettings read(Path path) throws InvalidConfigurationException {
		return SettingsReader.read(Role.ENTRY, path);
	}

	@Override
	RunningProcess start(ProcessSettings settings) throws IOException {
		return EntryProcess.start(settings);
	}

}
