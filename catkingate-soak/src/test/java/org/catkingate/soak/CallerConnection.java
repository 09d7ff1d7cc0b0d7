package org.catkingate.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A kept connection of a caller, which reads responses as they are on the wire: it
 * repairs nothing and notices surplus bytes. Not thread-safe.
 */
final class CallerConnection implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 2000;

	/** The maximum time in which no byte of a response is received, in milliseconds. */
	private static final int READ_TIMEOUT_MILLIS = 10_000;

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 ([0-9]{3}) .*");

	private static final int SLOW_BUFFER_BYTES = 4096;

	private static final int MAX_LINE_CHARS = 16_384;

	private final String gateway;

	private final Socket socket;

	private final InputStream input;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final int bytesPerSecond;

	private boolean responded;

	private CallerConnection(String gateway, Socket socket, int bytesPerSecond) throws IOException {
		this.bytesPerSecond = bytesPerSecond;
		this.gateway = gateway;
		this.socket = socket;
		this.input = new BufferedInputStream(socket.getInputStream());
	}

	/**
	 * Opens a connection.
	 * @param bytesPerSecond the rate at which bodies are read at most
	 */
	static CallerConnection open(String gateway, InetSocketAddress address, int bytesPerSecond) throws IOException {
		Socket socket = new Socket();
		try {
			if (bytesPerSecond < Integer.MAX_VALUE) {
				socket.setReceiveBufferSize(SLOW_BUFFER_BYTES);
			}
			socket.connect(address, CONNECT_TIMEOUT_MILLIS);
			socket.setSoTimeout(READ_TIMEOUT_MILLIS);
			socket.setTcpNoDelay(true);
			return new CallerConnection(gateway, socket, bytesPerSecond);
		}
		catch (IOException ex) {
			socket.close();
			throw ex;
		}
	}

	String gateway() {
		return this.gateway;
	}

	/**
	 * Returns the bytes that were received without a request.
	 */
	String readUnexpected() throws IOException {
		return new String(this.input.readNBytes(this.input.available()), StandardCharsets.ISO_8859_1);
	}

	void send(String request) throws IOException {
		this.socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
		this.socket.getOutputStream().flush();
	}

	/**
	 * Returns whether the gateway has responded on this connection.
	 */
	boolean hasResponded() {
		return this.responded;
	}

	/**
	 * Returns whether bytes of a response have been received.
	 */
	boolean hasResponse() throws IOException {
		return this.input.available() > 0;
	}

	/**
	 * Reads one response. The connection can be used again if it is complete and does not
	 * announce the end of the connection.
	 * @param headListener receives the headers before the body is read
	 */
	CallerResponse readResponse(Consumer<Map<String, String>> headListener) {
		this.body.reset();
		int status = CallerResponse.NONE;
		Map<String, String> headers = new HashMap<>();
		boolean complete = false;
		try {
			String line = readLine();
			Matcher matcher = STATUS_LINE.matcher(line);
			if (!matcher.matches()) {
				return new CallerResponse(CallerResponse.MALFORMED, Map.of(), line, false);
			}
			int receivedStatus = Integer.parseInt(matcher.group(1));
			readHeaders(headers);
			status = receivedStatus;
			this.responded = true;
			headListener.accept(headers);
			readBody(headers);
			complete = true;
		}
		catch (IOException ex) {
			// the response counts as incomplete
		}
		return new CallerResponse(status, headers, this.body.toString(StandardCharsets.ISO_8859_1), complete);
	}

	private void readHeaders(Map<String, String> headers) throws IOException {
		String line = readLine();
		while (!line.isEmpty()) {
			int colon = line.indexOf(':');
			if (colon > 0) {
				headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
			}
			line = readLine();
		}
	}

	private void readBody(Map<String, String> headers) throws IOException {
		if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
			int size = Integer.parseInt(readLine().strip(), 16);
			while (size > 0) {
				readBytes(size);
				readLine();
				size = Integer.parseInt(readLine().strip(), 16);
			}
			readLine();
		}
		else if (headers.containsKey("content-length")) {
			readBytes(Integer.parseInt(headers.get("content-length")));
		}
		else {
			this.input.transferTo(this.body);
		}
	}

	private void readBytes(int count) throws IOException {
		for (int i = 0; i < count; i++) {
			if (this.bytesPerSecond < Integer.MAX_VALUE && i % SLOW_BUFFER_BYTES == SLOW_BUFFER_BYTES - 1) {
				LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(SLOW_BUFFER_BYTES) / this.bytesPerSecond);
			}
			int next = this.input.read();
			if (next < 0) {
				throw new IOException("the connection has ended inside a body");
			}
			this.body.write(next);
		}
	}

	private String readLine() throws IOException {
		StringBuilder line = new StringBuilder();
		int next = this.input.read();
		while (next != '\n') {
			if (next < 0 || line.length() > MAX_LINE_CHARS) {
				throw new IOException("the connection has ended inside a line");
			}
			if (next != '\r') {
				line.append((char) next);
			}
			next = this.input.read();
		}
		return line.toString();
	}

	@Override
	public void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// nothing remains to be closed
		}
	}

}
