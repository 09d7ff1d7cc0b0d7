package org.catkingate.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

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
