package org.catkingate.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

import org.catkingate.decisions.publishing.DraftCheck;
import org.catkingate.decisions.publishing.Finding;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.ConfigurationDraft;
import org.catkingate.platform.ConfigurationDraftDecoder;

/**
 * The report on a configuration before it is published on the platform's registry.
 */
final class DraftReport {

	private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

	private final List<Finding> findings;

	private DraftReport(List<Finding> findings) {
		this.findings = findings;
	}

	/**
	 * Checks a file.
	 * @param file the configuration to publish
	 * @param inForce the version in force, null to compare with none
	 * @param runners the number of runners of each service, each as SERVICE=COUNT
	 * @return the report, never null
	 * @throws IOException if a file cannot be read
	 * @throws CommandException if a number of runners cannot be read
	 */
	static DraftReport of(Path file, Path inForce, List<String> runners) throws IOException, CommandException {
		Map<ServiceName, Integer> counts = new HashMap<>();
		for (String text : runners) {
			try {
				String[] parts = text.split("=", -1);
				counts.put(new ServiceName(parts[0]), Integer.parseInt((parts.length == 2) ? parts[1] : ""));
			}
			catch (IllegalArgumentException ex) {
				throw new CommandException(ExitCodes.USAGE,
						"catkingate check: --runners takes SERVICE=COUNT, not '" + text + "'");
			}
		}
		ConfigurationDraft draft = ConfigurationDraftDecoder.decode(Files.readAllBytes(file));
		Optional<ConfigurationDraft> previous = (inForce != null)
				? Optional.of(ConfigurationDraftDecoder.decode(Files.readAllBytes(inForce))) : Optional.empty();
		return new DraftReport(DraftCheck.check(draft, previous, counts));
	}

	/**
	 * Prints the report.
	 * @param out receives it
	 * @param asJson whether it is printed as JSON
	 * @return the exit code
	 * @throws IOException if the JSON cannot be written
	 */
	int print(PrintStream out, boolean asJson) throws IOException {
		boolean clean = this.findings.stream().noneMatch((finding) -> finding.kind().isFault());
		if (asJson) {
			Map<String, Object> report = new LinkedHashMap<>();
			report.put("clean", clean);
			report.put("findings", this.findings);
			out.println(JSON.writeValueAsString(report));
		}
		else {
			this.findings.forEach(out::println);
			out.println(clean ? "no faults" : "faults were found; do not publish this configuration as it is");
		}
		return clean ? ExitCodes.SUCCESS : ExitCodes.FAILURE;
	}

}
