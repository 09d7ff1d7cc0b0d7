package org.catkingate.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

import org.catkingate.model.Role;
import org.catkingate.model.ini.ConfigurationProblem;
import org.catkingate.model.ini.InvalidConfigurationException;
import org.catkingate.model.published.ConfigurationBundle;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.runtime.settings.SettingsReader;

/**
 * The command that validates settings, or the parts of a configuration before they are
 * published. It can also write the values to publish.
 */
@Parameters(commandDescription = "Validate settings or a configuration to publish, and print all errors")
final class CheckCommand extends Command {

	private final PrintStream out;

	@Parameter(description = "FILE..., the parts of a configuration, or one settings file", required = true)
	private List<Path> files = new ArrayList<>();

	@Parameter(names = "--settings", description = "The role whose settings the file contains: entry or agent")
	private Role settingsRole;

	@Parameter(names = "--revision", description = "The revision to publish; must be higher than all previous ones")
	private long revision = 1;

	@Parameter(names = "--bundle", description = "Write the values to publish to this directory, one file for each key")
	private Path bundleDirectory;

	@Parameter(names = "--registry",
			description = "The file is a configuration as it is published on the platform's registry")
	private boolean registry;

	@Parameter(names = "--in-force", description = "The version in force, to compare the file with (--registry)")
	private Path inForce;

	@Parameter(names = "--runners", description = "SERVICE=COUNT..., the runners of each service (--registry)")
	private List<String> runners = new ArrayList<>();

	@Parameter(names = "--json", description = "Print the findings as JSON (--registry)")
	private boolean json;

	CheckCommand(PrintStream out) {
		this.out = out;
	}

	@Override
	String example() {
		return "catkingate check --revision 42 --bundle out examples/sursagar/fleet.ini examples/sursagar/rules.ini"
				+ " examples/sursagar/accounts.ini examples/sursagar/versions.ini";
	}

	@Override
	int run() throws CommandException {
		try {
			if (this.registry) {
				return checkDraft();
			}
			return (this.settingsRole != null) ? checkSettings() : checkPublished();
		}
		catch (InvalidConfigurationException ex) {
			throw new CommandException(ExitCodes.FAILURE, formatProblems(ex));
		}
		catch (IOException ex) {
			throw new CommandException(ExitCodes.FAILURE,
					"catkingate check: " + ex.getMessage() + ": " + ex.getClass().getSimpleName()
							+ "; check that the files are readable and the directory is writable");
		}
	}

	private int checkDraft() throws IOException, CommandException {
		if (this.files.size() != 1 || this.settingsRole != null || this.bundleDirectory != null) {
			throw new CommandException(ExitCodes.USAGE,
					"catkingate check: --registry takes one FILE, and neither --settings nor --bundle");
		}
		return DraftReport.of(this.files.get(0), this.inForce, this.runners).print(this.out, this.json);
	}

	private int checkSettings() throws InvalidConfigurationException, CommandException {
		if (this.files.size() != 1) {
			throw new CommandException(ExitCodes.USAGE, "catkingate check: --settings takes one FILE");
		}
		SettingsReader.read(this.settingsRole, this.files.get(0));
		this.out.println("valid settings");
		return ExitCodes.SUCCESS;
	}

	private int checkPublished() throws InvalidConfigurationException, IOException {
		List<String> parts = new ArrayList<>();
		for (Path file : this.files) {
			parts.add(Files.readString(file));
		}
		ConfigurationBundle configurationBundle = ConfigurationBundle.of(this.revision, parts);
		PublishedConfiguration configuration = configurationBundle.parse();
		if (this.bundleDirectory != null) {
			writeBundle(configurationBundle);
		}
		this.out.println("valid configuration " + configurationBundle.version() + ": " + configuration.services().size()
				+ " services, " + configuration.versions().size() + " versions, " + configuration.accounts().size()
				+ " client accounts, " + configuration.rules().size() + " rules");
		return ExitCodes.SUCCESS;
	}

	private void writeBundle(ConfigurationBundle configurationBundle) throws IOException {
		Files.createDirectories(this.bundleDirectory.resolve("parts"));
		for (var part : configurationBundle.parts().entrySet()) {
			Files.write(this.bundleDirectory.resolve(ConfigurationBundle.partKey(part.getKey())), part.getValue());
		}
		Files.write(this.bundleDirectory.resolve(ConfigurationBundle.HEAD_KEY), configurationBundle.head());
	}

	private String formatProblems(InvalidConfigurationException ex) {
		StringBuilder text = new StringBuilder();
		for (ConfigurationProblem problem : ex.problems()) {
			text.append((text.length() > 0) ? "\n" : "").append(fileNames()).append(": ").append(problem);
		}
		return text.toString();
	}

	private String fileNames() {
		return (this.files.size() == 1) ? this.files.get(0).toString() : this.files.size() + " files";
	}

}
