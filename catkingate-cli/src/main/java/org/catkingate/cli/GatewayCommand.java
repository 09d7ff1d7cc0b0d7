package org.catkingate.cli;

import java.io.IOException;
import java.nio.file.Path;

import com.beust.jcommander.Parameters;

import org.catkingate.gateway.GatewayProcess;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.model.registry.RegistryScope;
import org.catkingate.platform.PlatformHeaderCodec;
import org.catkingate.platform.PlatformOrigin;
import org.catkingate.platform.PlatformRegistry;
import org.catkingate.runtime.process.RunningProcess;
import org.catkingate.runtime.settings.GatewaySettings;

/**
 * The command that runs a gateway. The adapter module {@code platform} provides access to
 * the external platform: its registry, its origin of weights and its HTTP headers.
 */
@Parameters(commandDescription = "Run a gateway, which accepts callers' requests and sends them to registered runners")
final class GatewayCommand extends ProcessCommand<GatewaySettings> {

	GatewayCommand() {
		super("gateway");
	}

	@Override
	GatewaySettings read(Path path) throws InvalidConfigurationException {
		return GatewaySettings.read(path);
	}

	@Override
	RunningProcess start(GatewaySettings settings) throws IOException {
		return GatewayProcess.start(settings,
				(httpClient, url) -> PlatformRegistry.at(httpClient, url, RegistryScope.EVERYTHING), PlatformOrigin::at,
				new PlatformHeaderCodec());
	}

}
