package org.catkingate.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that names and formats of the external platform appear only in the adapter module
 * {@code platform}, and that the adapter contains no decision logic.
 */
class PlatformBoundaryTests {

	private static final JavaClasses PRODUCTION_CLASSES = new ClassFileImporter()
		.withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
		.importPackages("org.catkingate");

	private static final List<String> EXTERNAL_PLATFORM_NAMES = List.of("X-Server-Seal", "X-Expect-Instance",
			"X-Not-Executed", "X-Token-Counts", "X-Instance-Load", "X-Tenant", "X-Deadline-Ms", "kv-range", "kv-watch",
			"stage-put", "stage-get", "SwitchMode", "CurrentRev", "PathPrefix", "ColdLeftMs", "op/config",
			"X-Prefix-Hash", "Store-Era", "Server-Leaving", "At-Server", "CATKINGATE_SETTINGS");

	@Test
	void adapterDoesNotDependOnDecisionsGatewayOrLoader() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage("org.catkingate.platform..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("org.catkingate.decisions..", "org.catkingate.gateway..", "org.catkingate.loader..")
			.check(PRODUCTION_CLASSES);
	}

	@Test
	void onlyTheCommandLineDependsOnTheAdapter() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideOutsideOfPackages("org.catkingate.platform..", "org.catkingate.cli..")
			.should()
			.dependOnClassesThat()
			.resideInAPackage("org.catkingate.platform..")
			.check(PRODUCTION_CLASSES);
	}

	@Test
	void noPlatformNameAppearsOutsideTheAdapter() throws IOException {
		Path root = Path.of(System.getProperty("catkingate.root"));
		try (Stream<Path> modules = Files.list(root)) {
			List<Path> sources = modules.map((module) -> module.resolve("src/main/java"))
				.filter(Files::isDirectory)
				.filter((source) -> !source.startsWith(root.resolve("platform")))
				.toList();
			assertThat(sources).hasSizeGreaterThan(5);
			for (Path source : sources) {
				assertThat(namesIn(source)).as("names of the platform under %s", source).isEmpty();
			}
		}
	}

	private static List<String> namesIn(Path source) throws IOException {
		try (Stream<Path> files = Files.walk(source)) {
			return files.filter((file) -> file.toString().endsWith(".java"))
				.flatMap((file) -> EXTERNAL_PLATFORM_NAMES.stream()
					.filter((name) -> contains(file, name))
					.map((name) -> file + ": " + name))
				.toList();
		}
	}

	private static boolean contains(Path file, String name) {
		try {
			return Files.readString(file).contains(name);
		}
		catch (IOException ex) {
			throw new AssertionError(file + " cannot be read", ex);
		}
	}

}
