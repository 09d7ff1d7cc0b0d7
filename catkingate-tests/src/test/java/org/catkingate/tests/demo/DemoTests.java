package org.catkingate.tests.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that {@code bin/demo} completes with the approved output and leaves no process
 * running.
 */
class DemoTests {

	private static final int PORT_COUNT = 40;

	/** Above the ports of {@code FreePorts}. */
	private static final int MIN_PORT = 29_000;

	/** Below the ephemeral port range of the system. */
	private static final int MAX_PORT = 32_000;

	private static final int TIMEOUT_MINUTES = 8;

	@TempDir
	private Path directory;

	private static int firstOfConsecutiveFreePorts() {
		for (int first = MIN_PORT; first < MAX_PORT; first += PORT_COUNT) {
			if (areFree(first)) {
				return first;
			}
		}
		throw new IllegalStateException("no " + PORT_COUNT + " free ports in a row");
	}

	private static boolean areFree(int first) {
		for (int port = first; port < first + PORT_COUNT; port++) {
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				assertThat(socket.isBound()).isTrue();
			}
			catch (IOException ex) {
				return false;
			}
		}
		return true;
	}

	@Test
	void completesAndLeavesNoProcessRunning() throws Exception {
		Path root = Path.of(System.getProperty("catkingate.root"));
		Path output = this.directory.resolve("output");
		ProcessBuilder builder = new ProcessBuilder("bash", root.resolve("bin/demo").toString())
			.redirectErrorStream(true)
			.redirectOutput(output.toFile());
		builder.environment().put("CATKINGATE_DEMO_PORT", Integer.toString(firstOfConsecutiveFreePorts()));
		Process demo = builder.start();
		try {
			assertThat(demo.waitFor(TIMEOUT_MINUTES, TimeUnit.MINUTES)).isTrue();
			assertThat(demo.descendants()).isEmpty();
			Approvals.verify(Files.readString(output, StandardCharsets.UTF_8));
			assertThat(demo.exitValue()).isZero();
		}
		finally {
			demo.destroy();
		}
	}

}
