package org.catkingate.runtime.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

import org.catkingate.model.Role;
import org.catkingate.model.ServiceName;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.model.ini.SectionReader;

/**
 * All settings of a loader. Immutable and safe for use by any thread.
 *
 * @param process who and where the process is
 * @param registry where the registry is
 * @param peers how gateways are met
 * @param operators where operators are answered
 * @param runner where the runner of this machine is
 * @param service the service that it belongs to
 * @param weightsChangeMillis how long after its declaration a version must be everywhere,
 * in milliseconds
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
	 * Reads a file.
	 * @param file the file
	 * @return the settings, never null
	 * @throws InvalidConfigurationException if anything is wrong; it names every fault
	 */
	public static LoaderSettings read(Path file) throws InvalidConfigurationException {
		return parse(SettingsSections.readText(file));
	}

	/**
	 * Reads a text.
	 * @param text the text
	 * @return the settings, never null
	 * @throws InvalidConfigurationException if anything is wrong; it names every fault
	 */
	public static LoaderSettings parse(String text) throws InvalidConfigurationException {
		SettingsSections sections = SettingsSections.parse(text, SECTIONS, List.of());
		ProcessSettings.Process process = SectionParsers.process(sections.reader("process"), Role.AGENT);
		RegistrySettings registry = RegistrySettings.of(sections.reader("registry"));
		PeerSettings peers = PeerSettings.connecting(sections.reader("peers"));
		ProcessSettings.Operators operators = SectionParsers.operators(sections.reader("operators"));
		SectionReader runner = sections.reader("runner");
		InetSocketAddress address = runner.parsed("address", null, SectionParsers::address);
		ServiceName service = runner.parsed("service", null, ServiceName::new);
		runner.checkUnknownKeys();
		int change = GatewaySettings.millis(sections.reader("weights"), "change-ms");
		sections.problems().throwIfAny();
		return new LoaderSettings(process, registry, peers, operators, address, service, change);
	}

}
