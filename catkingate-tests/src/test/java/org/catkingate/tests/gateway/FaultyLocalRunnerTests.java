package org.catkingate.tests.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.catkingate.standins.raw.RawServer;
import org.catkingate.tests.harness.ChildProcess;
import org.catkingate.tests.harness.FreePorts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of a loader whose runner sends bytes that are no complete response, in a process
 * with a small heap.
 */
class FaultyLocalRunnerTests {

	/** Many times the heap of the loader. */
	private static final long MIN_SENT_BYTES = 256L * 1024 * 1024;

	private static final int MIN_RESPONSES = 20;

	private static final String REPORT = "{\"Models\":[],\"Busy\":false,\"Active\":0,\"Queued\":0,\"born\":1}";

	private static final RawServer.Response SOUND = new RawServer.Response(
			List.of("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + REPORT.length()
					+ "\r\n\r\n" + REPORT),
			RawServer.Ending.KEEP_OPEN, 0);

	private static final InetSocketAddress OPERATORS = FreePorts.next();

	@TempDir
	private static Path directory;

	private static final AtomicReference<RawServer.Response> response = new AtomicReference<>(SOUND);

	private static RawServer runner;

	private static ChildProcess loader;

	@BeforeAll
	static void start() throws Exception {
		runner = RawServer.respondingTo((request) -> response.get());
		Path settings = Files.writeString(directory.resolve("loader.ini"), """
				[process]
				instance = loader-1
				data-centre = a
				region = r
				[registry]
				url = http://127.0.0.1:1
				[operators]
				listen = 127.0.0.1:%d
				[peers]
				seeds =
				shared-key = only-for-these-tests
				[runner]
				address = 127.0.0.1:%d
				service = songs
				[weights]
				change-ms = 8000
				""".formatted(OPERATORS.getPort(), runner.address().getPort()));
		loader = ChildProcess.start(directory, "loader",
				withSmallHeap(ChildProcess.commandLine("catkingate", "loader", settings.toString())));
	}

	@AfterAll
	static void stop() {
		loader.close();
		runner.close();
	}

	@BeforeEach
	void awaitReport() {
		response.set(SOUND);
		Awaitility.await().atMost(ChildProcess.TIMEOUT).until(() -> !loader.isAlive() || state().contains("Reported"));
		assertThat(loader.isAlive()).as(loader.output()).isTrue();
	}

	// Guards against a loader that runs out of memory with bytes that do not end.
	@ParameterizedTest
	@CsvSource(delimiter = '|',
			value = { "x | x", "HTTP/1.1 200 OK#X-Long: | x", "HTTP/1.1 200 OK# | X-Again: x#", "HTTP/1.1 200 OK## | x",
					"HTTP/1.1 200 OK#Content-Length: 999999999999## | x",
					"HTTP/1.1 200 OK#Transfer-Encoding: chunked## | 4#data#",
					"HTTP/1.1 200 OK#Transfer-Encoding: chunked##0# | X-Again: x#" })
	void bytesWithoutEndDoNotEndTheLoader(String start, String filler) {
		long sentBefore = runner.fillerBytes();
		int closedBefore = runner.connectionsClosedByPeer();
		response.set(RawServer.Response.withoutEnd(start.replace("#", "\r\n"), filler.replace("#", "\r\n")));
		Awaitility.await()
			.atMost(ChildProcess.TIMEOUT)
			.until(() -> !loader.isAlive() || runner.fillerBytes() - sentBefore > MIN_SENT_BYTES
					|| runner.connectionsClosedByPeer() - closedBefore > MIN_RESPONSES);
		assertThat(loader.isAlive()).as(loader.output()).isTrue();
	}

	// Guards against a report that is taken for complete although it broke off.
	@ParameterizedTest
	@CsvSource({ "HTTP/1.1 200", "HTTP/1.1 200 OK#", "HTTP/1.1 200 OK#Content-Le", "HTTP/1.1 200 OK#Content-Length: 2#",
			"HTTP/1.1 200 OK##{", "HTTP/1.1 200 OK#Content-Length: 9##{}" })
	void aReportThatBreaksOffIsNotUsed(String part) {
		response.set(new RawServer.Response(List.of(part.replace("#", "\r\n")), true));
		Awaitility.await().atMost(ChildProcess.TIMEOUT).until(() -> state().contains("no report"));
	}

	private static List<String> withSmallHeap(List<String> command) {
		return Stream
			.concat(Stream.of("bash", "-c",
					"JAVA_TOOL_OPTIONS='-Xmx32m -XX:+UseSerialGC -XX:+ExitOnOutOfMemoryError' exec \"$@\"", "bash"),
					command.stream())
			.toList();
	}

	private static String state() {
		try (RawCaller operator = RawCaller.connectTo(OPERATORS)) {
			return operator.send("GET /state HTTP/1.1\r\nHost: loader\r\n\r\n").readResponse();
		}
		catch (IOException ex) {
			return "";
		}
	}

}
