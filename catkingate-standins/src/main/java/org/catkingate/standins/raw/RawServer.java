package org.catkingate.standins.raw;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A server that responds with bytes specified by a test, written in parts with pauses
 * between them. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class RawServer implements AutoCloseable {

	/** A placeholder in a response for the identifier of the request. */
	public static final String REQUEST_ID_PLACEHOLDER = "{id}";

	private static final Pattern REQUEST_ID = Pattern.compile("(?mi)^X-Request-Id: *(\\S*)");

	private static final Pattern CONTENT_LENGTH = Pattern.compile("(?mi)^Content-Length: *([0-9]+)");

	private static final int BLOCK_CHARS = 8 * 1024;

	private static final long PAUSE_BETWEEN_PARTS_MILLIS = 60;

	private static final int BACKLOG = 512;

	private final List<String> requestHeads = new CopyOnWriteArrayList<>();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private final Set<Socket> silencedSockets = ConcurrentHashMap.newKeySet();

	private final AtomicInteger peerClosedConnections = new AtomicInteger();

	private final AtomicLong fillerBytes = new AtomicLong();

	private final ServerSocket socket;

	private final Function<Request, Response> responses;

	private final boolean keepsHeads;

	private RawServer(Function<Request, Response> responses, boolean keepsHeads) throws IOException {
		this.keepsHeads = keepsHeads;
		this.socket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
		this.responses = responses;
		Thread thread = new Thread(this::accept, "raw-server");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Starts a server that sends the same response to each request and keeps connections
	 * open.
	 * @param parts the parts of the response, written with pauses between them
	 * @return the server, never null
	 * @throws IOException if no port is free
	 */
	public static RawServer respondingWith(String... parts) throws IOException {
		Response response = new Response(List.of(parts), false);
		return new RawServer((request) -> response, true);
	}

	/**
	 * Starts a server that sends the same response to each request and then closes the
	 * connection.
	 * @param parts the parts of the response, written with pauses between them
	 * @return the server, never null
	 * @throws IOException if no port is free
	 */
	public static RawServer respondingAndClosing(String... parts) throws IOException {
		Response response = new Response(List.of(parts), true);
		return new RawServer((request) -> response, true);
	}

	/**
	 * Starts a server that selects a response for each request.
	 * @param responses supplies the response to each request; may be shared with other
	 * servers
	 * @return the server, never null
	 * @throws IOException if no port is free
	 */
	public static RawServer respondingWith(Supplier<Response> responses) throws IOException {
		return new RawServer((request) -> responses.get(), true);
	}

	/**
	 * Starts a server whose response depends on the request. It keeps no heads of
	 * requests.
	 * @param responses returns the response to each request; called on the thread of the
	 * connection, which it may block
	 * @return the server, never null
	 * @throws IOException if no port is free
	 */
	public static RawServer respondingTo(Function<Request, Response> responses) throws IOException {
		return new RawServer(responses, false);
	}

	/**
	 * Returns the address that the server listens on.
	 * @return the address, never null
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.socket.getLocalSocketAddress();
	}

	/**
	 * Returns the number of connections accepted so far.
	 * @return the number
	 */
	public int acceptedConnections() {
		return this.sockets.size();
	}

	/**
	 * Returns the number of connections that the peer has closed.
	 * @return the number
	 */
	public int connectionsClosedByPeer() {
		return this.peerClosedConnections.get();
	}

	/**
	 * Returns the heads of the requests received so far.
	 * @return the heads in order of arrival
	 */
	public List<String> requestHeads() {
		return this.requestHeads;
	}

	/**
	 * Silences the connections accepted so far: they stay open, and nothing is written on
	 * them any more.
	 */
	public void silenceConnections() {
		this.silencedSockets.addAll(this.sockets);
	}

	private void accept() {
		try {
			while (!this.socket.isClosed()) {
				Socket accepted = this.socket.accept();
				accepted.setTcpNoDelay(true);
				this.sockets.add(accepted);
				Thread thread = new Thread(() -> serve(accepted), "raw-connection");
				thread.setDaemon(true);
				thread.start();
			}
		}
		catch (IOException ex) {
			// the server was closed, which ends the loop
		}
	}

	private void serve(Socket accepted) {
		try {
			InputStream input = accepted.getInputStream();
			OutputStream output = accepted.getOutputStream();
			Request request = readRequest(input);
			while (request != null) {
				if (this.silencedSockets.contains(accepted)) {
					request = readRequest(input);
					continue;
				}
				Response response = this.responses.apply(request);
				String id = requestId(request);
				for (String part : response.parts()) {
					if (!this.silencedSockets.contains(accepted)) {
						output.write(part.replace(REQUEST_ID_PLACEHOLDER, id).getBytes(StandardCharsets.ISO_8859_1));
						output.flush();
					}
					Thread.sleep(response.pauseMillis());
				}
				if (!response.filler().isEmpty()) {
					writeWithoutEnd(output, response);
				}
				if (response.ending() != Ending.KEEP_OPEN) {
					if (response.ending() == Ending.RESET) {
						accepted.setSoLinger(true, 0);
					}
					accepted.close();
					return;
				}
				request = readRequest(input);
			}
			this.peerClosedConnections.incrementAndGet();
		}
		catch (IOException ex) {
			// the peer has reset the connection, or the server was closed
			this.peerClosedConnections.incrementAndGet();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void writeWithoutEnd(OutputStream output, Response response) throws IOException, InterruptedException {
		byte[] block = response.filler().getBytes(StandardCharsets.ISO_8859_1);
		while (true) {
			output.write(block);
			this.fillerBytes.addAndGet(block.length);
			if (response.fillerPauseMillis() > 0) {
				Thread.sleep(response.fillerPauseMillis());
			}
		}
	}

	/**
	 * Returns the number of bytes sent in responses without end.
	 * @return the number of bytes, including those in buffers of the network
	 */
	public long fillerBytes() {
		return this.fillerBytes.get();
	}

	private static String requestId(Request request) {
		Matcher matcher = REQUEST_ID.matcher(request.head());
		return matcher.find() ? matcher.group(1) : "";
	}

	private Request readRequest(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = input.read();
			if (next < 0) {
				return null;
			}
			head.append((char) next);
		}
		Matcher length = CONTENT_LENGTH.matcher(head);
		byte[] body = length.find() ? input.readNBytes(Integer.parseInt(length.group(1))) : new byte[0];
		if (this.keepsHeads) {
			this.requestHeads.add(head.toString());
		}
		return new Request(head.toString(), new String(body, StandardCharsets.ISO_8859_1));
	}

	@Override
	public void close() {
		try {
			this.socket.close();
			for (Socket accepted : this.sockets) {
				accepted.close();
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * What happens to the connection after a response.
	 */
	public enum Ending {

		/** The next request may follow. */
		KEEP_OPEN,

		/** The connection is closed. */
		CLOSE,

		/** The connection is reset. */
		RESET

	}

	/**
	 * A request.
	 *
	 * @param head the request line and the headers
	 * @param body the body, one character for each byte
	 */
	public record Request(String head, String body) {

	}

	/**
	 * The response to one request.
	 *
	 * @param parts the parts of the response, written with pauses between them
	 * @param ending what happens to the connection after the last part
	 * @param pauseMillis the pause after each part, in milliseconds
	 * @param filler written again and again after the last part until the peer closes the
	 * connection; empty to write nothing
	 * @param fillerPauseMillis the pause after each filler, in milliseconds
	 */
	public record Response(List<String> parts, Ending ending, long pauseMillis, String filler, long fillerPauseMillis) {

		public Response {
			parts = List.copyOf(parts);
		}

		/**
		 * Creates a response that ends.
		 * @param parts the parts of the response, written with pauses between them
		 * @param closes whether the connection is closed after the last part
		 */
		public Response(List<String> parts, boolean closes) {
			this(parts, closes ? Ending.CLOSE : Ending.KEEP_OPEN, PAUSE_BETWEEN_PARTS_MILLIS);
		}

		/**
		 * Creates a response that ends.
		 * @param parts the parts of the response
		 * @param ending what happens to the connection after the last part
		 * @param pauseMillis the pause after each part, in milliseconds
		 */
		public Response(List<String> parts, Ending ending, long pauseMillis) {
			this(parts, ending, pauseMillis, "", 0);
		}

		/**
		 * Creates a response without end.
		 * @param start the start of the response
		 * @param filler follows again and again, as fast as the peer reads
		 * @return the response, never null
		 */
		public static Response withoutEnd(String start, String filler) {
			int repetitions = Math.max(1, BLOCK_CHARS / filler.length());
			return trickling(start, filler.repeat(repetitions), 0);
		}

		/**
		 * Creates a response without end that is sent slowly.
		 * @param start the start of the response
		 * @param filler follows again and again
		 * @param pauseMillis the pause after each filler, in milliseconds
		 * @return the response, never null
		 */
		public static Response trickling(String start, String filler, long pauseMillis) {
			return new Response(List.of(start), Ending.KEEP_OPEN, PAUSE_BETWEEN_PARTS_MILLIS, filler, pauseMillis);
		}

	}

}
