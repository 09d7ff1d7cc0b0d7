package org.catkingate.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CommandLine}.
 */
class CommandLineTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private int run(String... args) {
		PrintStream outStream = new PrintStream(this.out, true, StandardCharsets.UTF_8);
		PrintStream errStream = new PrintStream(this.err, true, StandardCharsets.UTF_8);
		return CommandLine.withAllCommands(outStream, errStream).run(args);
	}

	@Nested
	class InvalidArguments {

		@Test
		void missingCommandIsAUsageError() {
			assertThat(run()).isEqualTo(ExitCodes.USAGE);
			assertThat(CommandLineTests.this.err)
				.hasToString("catkingate: no command given; run 'catkingate --help'\n");
		}

		@Test
		void unknownCommandIsReportedInOneLine() {
			assertThat(run("serve")).isEqualTo(ExitCodes.USAGE);
			assertThat(CommandLineTests.this.err.toString(StandardCharsets.UTF_8).lines()).hasSize(1);
		}

		@Test
		void unknownOptionIsReportedInOneLine() {
			assertThat(run("version", "--verbose")).isEqualTo(ExitCodes.USAGE);
			assertThat(CommandLineTests.this.err.toString(StandardCharsets.UTF_8)).contains("--verbose");
			assertThat(CommandLineTests.this.err.toString(StandardCharsets.UTF_8).lines()).hasSize(1);
		}

	}

	@Nested
	class CheckOfAConfigurationForTheRegistry {

		@TempDir
		private Path directory;

		private String write(String name, long version, String goal) throws IOException {
			return Files.writeString(this.directory.resolve(name), """
					{"Version": %d, "Routes": [{"Name": "a", "Host": "songs.example", "PathPrefix": "/a/",
					 "Type": "idempotent", "TimeoutMs": 3000, "GoalMs": %s, "Service": "songs", "Resumable": false,
					 "Public": false}], "Services": [{"Name": "songs"}],
					 "Tenants": [{"Name": "bar-1", "ApiKeys": ["key1"]}], "Limits": {"MaxHeaderBytes": 16384,
					 "MaxBodyBytes": 1000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
					""".formatted(version, goal)).toString();
		}

		// Guards against a script that publishes a configuration with faults.
		@Test
		void endsWithTheExitCodeOfItsFindings() throws IOException {
			String sound = write("sound.json", 8, "500");
			assertThat(run("check", "--registry", sound)).isEqualTo(ExitCodes.SUCCESS);
			assertThat(run("check", "--registry", "--in-force", write("old.json", 7, "400"), sound))
				.isEqualTo(ExitCodes.SUCCESS);
			assertThat(CommandLineTests.this.out.toString(StandardCharsets.UTF_8))
				.contains("change: route a: goal in ms: 400 becomes 500");
			assertThat(run("check", "--registry", "--json", write("late.json", 8, "3001")))
				.isEqualTo(ExitCodes.FAILURE);
			assertThat(CommandLineTests.this.out.toString(StandardCharsets.UTF_8)).contains("\"clean\" : false",
					"\"kind\" : \"CONTRADICTION\"");
			assertThat(run("check", "--registry", sound, sound)).isEqualTo(ExitCodes.USAGE);
			assertThat(run("check", "--registry", "--runners", "songs", sound)).isEqualTo(ExitCodes.USAGE);
		}

	}

	@Nested
	class Help {

		@Test
		void programHelpListsTheCommands() {
			assertThat(run("--help")).isEqualTo(ExitCodes.SUCCESS);
			assertThat(CommandLineTests.this.out.toString(StandardCharsets.UTF_8)).contains("version");
		}

		@Test
		void commandHelpShowsAnExample() {
			assertThat(run("version", "--help")).isEqualTo(ExitCodes.SUCCESS);
			assertThat(CommandLineTests.this.out.toString(StandardCharsets.UTF_8))
				.contains("Example: catkingate version");
		}

	}

}
