package org.catkingate.tests;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.catkingate.tests.harness.ChildProcess;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the signal by which operators request that a process reads its settings again.
 */
class HangUpSignalTests {

	private static final int EXIT_CODE_FOR_WRONG_SETTINGS = 2;

	@TempDir
	private Path directory;

	// Guards against a gateway that is ended by the signal while it starts. The settings
	// are a pipe, so that the process waits in the middle of its start.
	@Test
	void doesNotEndAProcessThatStarts() throws Exception {
		Path settings = this.directory.resolve("gateway.ini");
		assertThat(new ProcessBuilder("mkfifo", settings.toString()).start().waitFor()).isZero();
		try (ChildProcess gateway = ChildProcess.start(this.directory, "gateway",
				ChildProcess.commandLine("catkingate", "gateway", settings.toString()))) {
			CompletableFuture<OutputStream> opened = CompletableFuture.supplyAsync(() -> open(settings));
			try (OutputStream pipe = opened.get(ChildProcess.TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
				gateway.hangUp();
				pipe.write("no settings".getBytes(StandardCharsets.UTF_8));
			}
			assertThat(gateway.awaitExit(ChildProcess.TIMEOUT)).isEqualTo(EXIT_CODE_FOR_WRONG_SETTINGS);
		}
	}

	private static OutputStream open(Path pipe) {
		try {
			return Files.newOutputStream(pipe);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
