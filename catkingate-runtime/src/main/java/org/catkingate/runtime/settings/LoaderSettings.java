package org.catkingate.runtime.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

import org.catkingate.model.AddressFormatter;
import org.catkingate.model.Role;
import org.catkingate.model.ServiceName;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.model.ini.SectionReader;

/**
 * All settings of a loader. Immutable and safe for use by any thread.
 *
 * @param process the identity and location of the process
 * @param registry the address of the registry and how it is watched
 * @param peers the connections to gateways
 * @param operators the addresses of the endpoint for operators
 * @param runner the address of the runner on this instance
 * @param service the service that the runner belongs to
 * @param weightsChangeMillis the time after its declaration by which a version must be in
 * use everywhere, in milliseconds
 * @since 0.1
 */
public record LoaderSettings(ProcessSettings.Process process, RegistrySettings registry, PeerSettings peers,
		ProcessSettings.Operators operators, InetSocketAddress runner, ServiceName service,
		long weightsChangeMillis) implements RoleSettings {

	private static final List<String> SECTIONS = List.of("process", "registry", "peers", "operators", "runner",
			"weights");

	public LoaderSettings {
		Objects.requireNonNull(process, "process must not be null");
	}

	/**
	 * Reads settings from a file.
	 * @param file the file
	 * @return the settings, never null
	 * @throws InvalidConfigurationException if the settings are invalid; names every
	 * problem
	 */
	public static LoaderSettings read(Path file) throws InvalidConfigurationException {
		return parse(SettingsSections.readText(file));
	}

	/**
	 * Parses settings.
	 * @param text the text
	 * @return the settings, never null
	 * @throws InvalidConfigurationException if the settings are invalid; names every
	 * problem
	 */
	public static LoaderSettings parse(String text) throws InvalidConfigurationException {
		SettingsSections sections = SettingsSections.parse(text, SECTIONS, List.of());
		// A loader connects to its peers in the role of an agent.
		ProcessSettings.Process process = SectionParsers.process(sections.reader("process"), Role.AGENT);
		RegistrySettings registry = RegistrySettings.of(sections.reader("registry"));
		PeerSettings peers = PeerSettings.connecting(sections.reader("peers"));
		ProcessSettings.Operators operators = SectionParsers.operators(sections.reader("operators"));
		SectionReader runner = sections.reader("runner");
		InetSocketAddress runnerAddress = runner.value("address", null, AddressFormatter::parse);
		ServiceName service = runner.value("service", null, ServiceName::new);
		runner.checkUnknownKeys();
		int weightsChangeMillis = GatewaySettings.parseDuration(sections.reader("weights"), "change-ms");
		sections.problems().throwIfAny();
		return new LoaderSettings(process, registry, peers, operators, runnerAddress, service, weightsChangeMillis);
	}

}
