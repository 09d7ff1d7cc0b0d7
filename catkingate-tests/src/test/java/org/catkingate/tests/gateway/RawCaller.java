package org.catkingate.tests.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A caller that writes raw bytes and reads the raw response. Not thread-safe.
 */
final class RawCaller implements AutoCloseable {

	private static final int TIMEOUT_MILLIS = 10_000;

	private static final Pattern CONTENT_LENGTH = Pattern.compile("(?mi)^Content-Length: *([0-9]+)");

	private final Socket socket;

	private RawCaller(Socket socket) {
		this.socket = socket;
	}

	static RawCaller connectTo(InetSocketAddress address) throws IOException {
		Socket socket = new Socket();
		socket.connect(address, TIMEOUT_MILLIS);
		socket.setSoTimeout(TIMEOUT_MILLIS);
		socket.setTcpNoDelay(true);
		return new RawCaller(socket);
	}

	RawCaller send(String bytes) throws IOException {
		this.socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
		this.socket.getOutputStream().flush();
		return this;
	}

	/**
	 * Sends a well-formed request.
	 */
	RawCaller post(String id, String path, String body) throws IOException {
		return send("POST " + path + " HTTP/1.1\r\nHost: " + TestGateway.HOST + "\r\nX-Request-Id: " + id
				+ "\r\nX-Deadline-Ms: 2500\r\nAuthorization: Bearer " + TestGateway.API_KEY + "\r\nContent-Length: "
				+ body.length() + "\r\n\r\n" + body);
	}

	/**
	 * Reads one response.
	 * @return the complete response, or what was received until the connection ended or
	 * the read timed out, followed by {@code <closed>} or {@code <silent>}
	 */
	String readResponse() throws IOException {
		ByteArrayOutputStream received = new ByteArrayOutputStream();
		while (!isComplete(text(received))) {
			try {
				int next = this.socket.getInputStream().read();
				if (next < 0) {
					return text(received) + "<closed>";
				}
				received.write(next);
			}
			catch (SocketTimeoutException ex) {
				return text(received) + "<silent>";
			}
		}
		return text(received);
	}

	/**
	 * Reads until a text has been received, the connection ends or the read times out.
	 * @param expected the text
	 */
	RawCaller readUntil(String expected) throws IOException {
		StringBuilder received = new StringBuilder();
		int next = this.socket.getInputStream().read();
		while (next >= 0 && received.append((char) next).indexOf(expected) < 0) {
			next = this.socket.getInputStream().read();
		}
		return this;
	}

	private static String text(ByteArrayOutputStream bytes) {
		return bytes.toString(StandardCharsets.ISO_8859_1);
	}

	private static boolean isComplete(String received) {
		int head = received.indexOf("\r\n\r\n");
		if (head < 0) {
			return false;
		}
		Matcher length = CONTENT_LENGTH.matcher(received.substring(0, head));
		if (length.find()) {
			return received.length() >= head + 4 + Integer.parseInt(length.group(1));
		}
		return received.endsWith("\r\n0\r\n\r\n");
	}

	/**
	 * Waits for the connection to end.
	 * @return whether the next read found the end of the connection, and neither a byte
	 * nor the read timeout
	 */
	boolean awaitClosed() throws IOException {
		try {
			return this.socket.getInputStream().read() < 0;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
	}

	/**
	 * Reads a number of bytes.
	 * @param count the number
	 * @return the number of bytes read, smaller if the connection ended before
	 */
	int readBytes(int count) throws IOException {
		byte[] buffer = new byte[64 * 1024];
		int total = 0;
		while (total < count) {
			int read = this.socket.getInputStream().read(buffer, 0, Math.min(buffer.length, count - total));
			if (read < 0) {
				return total;
			}
			total += read;
		}
		return total;
	}

	/**
	 * Reads everything until the connection ends.
	 * @return whether it ended, and neither with a last chunk nor by the read timeout
	 */
	boolean awaitClosedAfterReadingAll() throws IOException {
		byte[] buffer = new byte[64 * 1024];
		String tail = "";
		try {
			int count = this.socket.getInputStream().read(buffer);
			while (count >= 0) {
				String text = tail + new String(buffer, 0, count, StandardCharsets.ISO_8859_1);
				tail = text.substring(Math.max(0, text.length() - 10));
				count = this.socket.getInputStream().read(buffer);
			}
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		catch (IOException ex) {
			return true;
		}
		return !tail.endsWith("\r\n0\r\n\r\n");
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
