package org.catkingate.tests;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Pattern;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.catkingate.tests.harness.ChildProcess;
import org.catkingate.tests.harness.FreePorts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the lines that a process logs last reach the reader of its standard output.
 * The gateway has no configuration, so that it rejects each request with a line. It may
 * take 6 s for its shutdown, and stops after 2 s if no request is in progress.
 */
class LogAtExitTests {

	private static final long NOTICE_MILLIS = 2000;

	private static final long LIMIT_MILLIS = 4000;

	/** For how long a slow reader does not read after the process has stopped. */
	private static final long PAUSE_OF_THE_READER_MILLIS = 1500;

	/** The time that the platform grants beyond the settings of the process. */
	private static final long MARGIN_MILLIS = 1000;

	/** What a pipe holds without a reader. */
	private static final int PIPE_BYTES = 64 * 1024;

	/** The capacity of the queue of lines. */
	private static final int QUEUE_LINES = 2048;

	private static final Pattern DROPPED = Pattern.compile("\"event\":\"lines-dropped\"},\\{\"count\":\"?(\\d+)");

	private final InetSocketAddress callers = FreePorts.next();

	@TempDir
	private Path directory;

	private ChildProcess gateway;

	private InputStream output;

	@AfterEach
	void close() throws IOException {
		if (this.gateway != null) {
			this.gateway.close();
		}
		if (this.output != null) {
			this.output.close();
		}
	}

	private void startWithUnreadOutput() throws Exception {
		Path settings = this.directory.resolve("gateway.ini");
		Files.writeString(settings, """
				[process]
				instance = gateway-1
				data-centre = a
				region = r
				[data-centres]
				a = r
				[registry]
				url = http://127.0.0.1:1
				[callers]
				listen = 127.0.0.1:%d
				[operators]
				listen = 127.0.0.1:%d
				[peers]
				listen = 127.0.0.1:%d
				seeds =
				shared-key = only-for-these-tests
				[shutdown]
				notice-s = %d
				limit-s = %d
				[keys]
				certain-ms = 5000
				[retries]
				ratio = 0.2
				free = 600
				window-s = 10
				[weights]
				change-ms = 8000
				""".formatted(this.callers.getPort(), FreePorts.next().getPort(), FreePorts.next().getPort(),
				NOTICE_MILLIS / 1000, LIMIT_MILLIS / 1000));
		Path pipe = this.directory.resolve("gateway.out");
		assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor()).isZero();
		CompletableFuture<InputStream> opened = CompletableFuture.supplyAsync(() -> open(pipe));
		this.gateway = ChildProcess.start(this.directory, "gateway",
				ChildProcess.commandLine("catkingate", "gateway", settings.toString()));
		this.output = opened.get(ChildProcess.TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		Awaitility.await().atMost(ChildProcess.TIMEOUT).until(() -> canConnect());
	}

	private static InputStream open(Path pipe) {
		try {
			return Files.newInputStream(pipe);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private boolean canConnect() {
		try (Socket socket = new Socket(this.callers.getAddress(), this.callers.getPort())) {
			return socket.isConnected();
		}
		catch (IOException ex) {
			return false;
		}
	}

	/*
	 * Sends requests over one connection, each of which leaves one line of the log.
	 * Returns the ids of those that were responded to, fewer if the connection is closed.
	 */
	private List<String> sendRequests(String prefix, int count) throws IOException {
		List<String> answered = new ArrayList<>();
		try (Socket socket = new Socket(this.callers.getAddress(), this.callers.getPort())) {
			BufferedReader responses = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			for (int i = 0; i < count; i++) {
				socket.getOutputStream()
					.write(("GET / HTTP/1.1\r\nHost: songs.example\r\nX-Request-Id: " + prefix + i + "\r\n\r\n")
						.getBytes(StandardCharsets.ISO_8859_1));
				String line = responses.readLine();
				if (line == null) {
					return answered;
				}
				assertThat(line).startsWith("HTTP/1.1 503 ");
				boolean closes = false;
				while (!line.isEmpty()) {
					closes |= line.equals("Connection: close");
					line = responses.readLine();
				}
				responses.readLine();
				answered.add(prefix + i);
				if (closes) {
					return answered;
				}
			}
		}
		return answered;
	}

	private CompletableFuture<String> read(long pauseMillis) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				StringBuilder text = new StringBuilder();
				byte[] bytes = new byte[PIPE_BYTES];
				for (int count = this.output.read(bytes); count >= 0; count = this.output.read(bytes)) {
					text.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
					Thread.sleep(pauseMillis);
				}
				return text.toString();
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	private static String get(CompletableFuture<String> text)
			throws InterruptedException, ExecutionException, TimeoutException {
		return text.get(ChildProcess.TIMEOUT.toSeconds(), TimeUnit.SECONDS);
	}

	private static List<String> missing(String text, List<String> ids) {
		return ids.stream().filter((id) -> !text.contains("\"" + id + "\"")).toList();
	}

	// Guards against lines of the last second that are lost although the reader of
	// standard
	// output would have read them within the time that the platform grants.
	@Test
	void theLastLinesReachASlowReader() throws Exception {
		startWithUnreadOutput();
		List<String> ids = new ArrayList<>(sendRequests("request-", 1500));
		assertThat(ids).hasSize(1500);
		this.gateway.terminate();
		List<String> lateIds = sendRequests("late-", 1);
		assertThat(lateIds).isNotEmpty();
		ids.addAll(lateIds);
		Thread.sleep(NOTICE_MILLIS + PAUSE_OF_THE_READER_MILLIS);
		CompletableFuture<String> text = read(50);
		assertThat(this.gateway.awaitExit(ChildProcess.TIMEOUT)).isZero();
		assertThat(missing(get(text), ids)).isEmpty();
		assertThat(get(text)).contains("\"stopped\"").doesNotContain("lines-dropped");
	}

	// Guards against a log with gaps that nobody notices.
	@Test
	void droppedLinesAreCounted() throws Exception {
		startWithUnreadOutput();
		List<String> ids = sendRequests("request-", 2 * QUEUE_LINES + 2000);
		this.gateway.terminate();
		CompletableFuture<String> text = read(0);
		assertThat(this.gateway.awaitExit(ChildProcess.TIMEOUT)).isZero();
		int missing = missing(get(text), ids).size();
		assertThat(missing).isPositive();
		long reported = DROPPED.matcher(get(text))
			.results()
			.mapToLong((result) -> Long.parseLong(result.group(1)))
			.sum();
		assertThat(reported).isEqualTo(missing);
	}

	// Guards against a process that is killed at the end of the platform's grace period,
	// since
	// nobody reads its output, and against lines that are lost without notice.
	@Test
	void aReaderThatHasStoppedDoesNotKeepTheProcess() throws Exception {
		startWithUnreadOutput();
		sendRequests("request-", 1500);
		long startNanos = System.nanoTime();
		this.gateway.terminate();
		assertThat(this.gateway.awaitExit(ChildProcess.TIMEOUT)).isZero();
		assertThat(Duration.ofNanos(System.nanoTime() - startNanos))
			.isLessThan(Duration.ofMillis(NOTICE_MILLIS + LIMIT_MILLIS + MARGIN_MILLIS));
		assertThat(this.gateway.errors()).contains("lines of the log are lost");
	}

}
