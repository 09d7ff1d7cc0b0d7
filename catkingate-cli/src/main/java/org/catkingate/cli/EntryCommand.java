package org.catkingate.cli;

import java.io.IOException;

import com.beust.jcommander.Parameters;

import org.catkingate.entry.EntryProcess;
import org.catkingate.model.Role;
import org.catkingate.runtime.process.RunningProcess;
import org.catkingate.runtime.settings.ProcessSettings;

/**
 * Runs an entry.
 */
@Parameters(commandDescription = "Take callers' requests and route them")
final class EntryCommand extends ProcessCommand {

	EntryCommand() {
		super(Role.ENTRY);
	}

	@Override
	RunningProcess start(ProcessSettings settings) throws IOException {
		return EntryProcess.start(settings);
	}

}
