package org.catkingate.cli;

import java.io.IOException;
import java.nio.file.Path;

import com.beust.jcommander.Parameters;

import org.catkingate.loader.LoaderProcess;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.model.registry.RegistryScope;
import org.catkingate.platform.PlatformOrigin;
import org.catkingate.platform.PlatformRegistry;
import org.catkingate.platform.PlatformRunner;
import org.catkingate.runtime.process.RunningProcess;
import org.catkingate.runtime.settings.LoaderSettings;

/**
 * The command that runs a loader. The adapter module {@code platform} provides access to
 * the external platform: its registry, its origin of weights and its runner.
 */
@Parameters(commandDescription = "Run a loader, which provides the runner on this instance with the declared weights")
final class LoaderCommand extends ProcessCommand<LoaderSettings> {

	LoaderCommand() {
		super("loader");
	}

	@Override
	LoaderSettings read(Path path) throws InvalidConfigurationException {
		return LoaderSettings.read(path);
	}

	@Override
	RunningProcess start(LoaderSettings settings) throws IOException {
		return LoaderProcess.start(settings,
				(httpClient, url) -> PlatformRegistry.at(httpClient, url, RegistryScope.OPERATORS), PlatformOrigin::at,
				PlatformRunner::at);
	}

}
