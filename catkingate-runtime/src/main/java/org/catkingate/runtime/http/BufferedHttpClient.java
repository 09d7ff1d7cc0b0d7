package org.catkingate.runtime.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * An HTTP client that reads complete responses into memory and keeps idle connections for
 * the next call to the same address. Every call completes within its timeouts. Safe for
 * use by any thread.
 *
 * @since 0.1
 */
public final class BufferedHttpClient {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int MAX_IDLE_CONNECTIONS_PER_ADDRESS = 8;

	private final XnioWorker worker;

	private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

	private final Map<String, Deque<ClientConnection>> idleConnections = new HashMap<>();

	private BufferedHttpClient(XnioWorker worker) {
		this.worker = worker;
	}

	/**
	 * Creates a client that uses the I/O threads of a worker.
	 * @param worker the worker
	 * @return the client, never null
	 */
	public static BufferedHttpClient create(XnioWorker worker) {
		return new BufferedHttpClient(worker);
	}

	/**
	 * Sends a request with a timeout for the complete response.
	 * @param base the scheme, host and port
	 * @param request the request; its host header is set here
	 * @param body the body of the request
	 * @param maxBytes the maximum length of the response body, in bytes
	 * @param timeoutMillis the timeout for the complete response, in milliseconds
	 * @return the complete response, whatever its status, or the failure
	 */
	public CompletableFuture<Response> call(URI base, ClientRequest request, Body body, int maxBytes,
			long timeoutMillis) {
		return call(base, request, body, maxBytes, new Timeouts(timeoutMillis, timeoutMillis));
	}

	/**
	 * Sends a request with an idle timeout and a total timeout.
	 * @param base the scheme, host and port
	 * @param request the request; its host header is set here
	 * @param body the body of the request
	 * @param maxBytes the maximum length of the response body, in bytes
	 * @param timeouts the timeouts
	 * @return the complete response, whatever its status, or the failure
	 */
	public CompletableFuture<Response> call(URI base, ClientRequest request, Body body, int maxBytes,
			Timeouts timeouts) {
		Call call = createCall(base, request, body, maxBytes, timeouts);
		ClientConnection idleConnection = takeIdle(base);
		if (idleConnection != null) {
			call.completed(idleConnection);
		}
		else {
			LimitedConnections.open(base, this.worker, this.buffers, OptionMap.EMPTY, call);
		}
		return call.responseFuture;
	}

	/**
	 * Sends a request on a new connection, on which a late copy of the response to an
	 * earlier request cannot be taken for the response to this one.
	 * @param base the scheme, host and port
	 * @param request the request; its host header is set here
	 * @param body the body of the request
	 * @param maxBytes the maximum length of the response body, in bytes
	 * @param timeoutMillis the timeout for the complete response, in milliseconds
	 * @return the complete response, whatever its status, or the failure
	 */
	public CompletableFuture<Response> callOnNewConnection(URI base, ClientRequest request, Body body, int maxBytes,
			long timeoutMillis) {
		Call call = createCall(base, request, body, maxBytes, new Timeouts(timeoutMillis, timeoutMillis));
		LimitedConnections.open(base, this.worker, this.buffers, OptionMap.EMPTY, call);
		return call.responseFuture;
	}

	private Call createCall(URI base, ClientRequest request, Body body, int maxBytes, Timeouts timeouts) {
		request.getRequestHeaders().put(Headers.HOST, base.getAuthority());
		Call call = new Call(base, request, body, maxBytes, timeouts);
		call.startTimers();
		return call;
	}

	private ClientConnection takeIdle(URI base) {
		synchronized (this.idleConnections) {
			Deque<ClientConnection> connections = this.idleConnections.get(base.getAuthority());
			while (connections != null && !connections.isEmpty()) {
				ClientConnection connection = connections.pop();
				if (connection.isOpen() && ResponseBytes.of(connection).isAtEnd()) {
					return connection;
				}
				IoUtils.safeClose(connection);
			}
			return null;
		}
	}

	private void keep(URI base, ClientConnection connection) {
		synchronized (this.idleConnections) {
			Deque<ClientConnection> connections = this.idleConnections.computeIfAbsent(base.getAuthority(),
					(authority) -> new ArrayDeque<>());
			if (connection.isOpen() && ResponseBytes.of(connection).isAtEnd()
					&& connections.size() < MAX_IDLE_CONNECTIONS_PER_ADDRESS) {
				connections.push(connection);
				return;
			}
		}
		IoUtils.safeClose(connection);
	}

	/**
	 * The timeouts of a call.
	 *
	 * @param idleMillis the maximum time without receiving any part of the response, in
	 * milliseconds
	 * @param totalMillis the timeout for the complete response, in milliseconds
	 */
	public record Timeouts(long idleMillis, long totalMillis) {

		public Timeouts {
			if (idleMillis < 1 || totalMillis < idleMillis) {
				throw new IllegalArgumentException(
						"idleMillis must be at least 1 and totalMillis must not be less than idleMillis");
			}
		}

	}

	/**
	 * The body of a request.
	 */
	@FunctionalInterface
	public interface Body {

		/**
		 * Starts to write the body. Called by an I/O thread; must not block.
		 * @param channel the channel to write to, which the body shuts down for writing
		 * at its end
		 * @param onFailure is called with the cause if the body cannot be written
		 * completely
		 */
		void write(StreamSinkChannel channel, Consumer<Exception> onFailure);

		/**
		 * Returns an empty body.
		 * @return the body, never null
		 */
		static Body empty() {
			return (channel, onFailure) -> {
				try {
					channel.shutdownWrites();
					if (!channel.flush()) {
						channel.getWriteSetter()
							.set(ChannelListeners.flushingChannelListener(null, (sink, ex) -> onFailure.accept(ex)));
						channel.resumeWrites();
					}
				}
				catch (IOException ex) {
					onFailure.accept(ex);
				}
			};
		}

		/**
		 * Returns a body that is held in memory.
		 * @param bytes the body; the request must specify its length
		 * @return the body, never null
		 */
		static Body of(byte[] bytes) {
			return (channel, onFailure) -> BodyWriter.write(bytes, channel, () -> {
			}, onFailure::accept);
		}

	}

	/**
	 * A complete response.
	 *
	 * @param status the HTTP status
	 * @param headers the headers
	 * @param body the body
	 */
	public record Response(int status, HeaderMap headers, byte[] body) {

		/**
		 * Returns the value of a header.
		 * @param name the name of the header
		 * @return its first value, or null if the header is absent
		 */
		public String header(String name) {
			return this.headers.getFirst(new HttpString(name));
		}

	}

	/**
	 * A call in progress, which runs on I/O threads.
	 */
	private final class Call implements ClientCallback<ClientConnection> {

		private final URI base;

		private final ClientRequest request;

		private final Body body;

		private final int maxBytes;

		private final CompletableFuture<Response> responseFuture = new CompletableFuture<>();

		private final ByteArrayOutputStream received = new ByteArrayOutputStream();

		private final Timeouts timeouts;

		private volatile XnioExecutor.Key idleTimer;

		private volatile XnioExecutor.Key totalTimer;

		private volatile ClientConnection connection;

		private Call(URI base, ClientRequest request, Body body, int maxBytes, Timeouts timeouts) {
			this.base = base;
			this.request = request;
			this.body = body;
			this.maxBytes = maxBytes;
			this.timeouts = timeouts;
		}

		private void startTimers() {
			this.totalTimer = failAfter(this.timeouts.totalMillis(), "sent no complete response");
			this.idleTimer = failAfter(this.timeouts.idleMillis(), "sent nothing");
		}

		private XnioExecutor.Key failAfter(long millis, String failureText) {
			return BufferedHttpClient.this.worker.getIoThread()
				.executeAfter(() -> fail(new IOException(this.base + " " + failureText + " within " + millis + " ms")),
						millis, TimeUnit.MILLISECONDS);
		}

		private void restartIdleTimer() {
			this.idleTimer.remove();
			if (!this.responseFuture.isDone()) {
				this.idleTimer = failAfter(this.timeouts.idleMillis(), "sent nothing");
			}
		}

		private void stopTimers() {
			for (XnioExecutor.Key timer : Arrays.asList(this.idleTimer, this.totalTimer)) {
				if (timer != null) {
					timer.remove();
				}
			}
		}

		@Override
		public void completed(ClientConnection opened) {
			this.connection = opened;
			if (this.responseFuture.isDone()) {
				IoUtils.safeClose(opened);
				return;
			}
			opened.getIoThread().execute(() -> send(opened));
		}

		private void send(ClientConnection opened) {
			ReceiveLimit.of(opened).expectHead();
			ResponseBytes.of(opened).expectHead();
			opened.sendRequest(this.request, new ClientCallback<>() {

				@Override
				public void completed(ClientExchange exchange) {
					started(exchange);
				}

				@Override
				public void failed(IOException ex) {
					fail(ex);
				}

			});
		}

		private void started(ClientExchange exchange) {
			exchange.setResponseListener(new ClientCallback<>() {

				@Override
				public void completed(ClientExchange result) {
					if (ResponseFraming.isAmbiguous(result.getResponse())) {
						fail(new IOException("the headers of the response of " + Call.this.base
								+ " do not tell where its body ends"));
						return;
					}
					ReceiveLimit.of(Call.this.connection).expectData();
					try {
						ResponseBytes.of(Call.this.connection).expectBody(result.getRequest(), result.getResponse());
					}
					catch (IOException ex) {
						fail(ex);
						return;
					}
					read(result, result.getResponseChannel());
				}

				@Override
				public void failed(IOException ex) {
					fail(ex);
				}

			});
			this.body.write(exchange.getRequestChannel(), this::fail);
		}

		private void read(ClientExchange exchange, StreamSourceChannel channel) {
			ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
			restartIdleTimer();
			try {
				int count = channel.read(buffer);
				while (count > 0) {
					ReceiveLimit.of(this.connection).expectData();
					append(buffer);
					count = channel.read(buffer);
				}
				if (count < 0) {
					finish(exchange);
					return;
				}
				channel.getReadSetter().set((source) -> read(exchange, source));
				channel.resumeReads();
			}
			catch (IOException ex) {
				fail(ex);
			}
		}

		private void append(ByteBuffer buffer) throws IOException {
			if (this.received.size() + buffer.position() > this.maxBytes) {
				throw new IOException(
						"response of " + this.base + " is longer than the maximum of " + this.maxBytes + " bytes");
			}
			this.received.write(buffer.array(), 0, buffer.position());
			buffer.clear();
		}

		private void finish(ClientExchange exchange) {
			if (ResponseFraming.isDelimited(exchange.getRequest(), exchange.getResponse())
					&& !ResponseBytes.of(this.connection).isEnded()) {
				fail(new IOException("the body of the response of " + this.base + " broke off"));
				return;
			}
			Response response = new Response(exchange.getResponse().getResponseCode(),
					exchange.getResponse().getResponseHeaders(), this.received.toByteArray());
			if (this.responseFuture.isDone()) {
				return;
			}
			stopTimers();
			keep(this.base, this.connection);
			this.responseFuture.complete(response);
		}

		@Override
		public void failed(IOException ex) {
			fail(ex);
		}

		private void fail(Exception ex) {
			stopTimers();
			if (this.responseFuture.completeExceptionally(ex)) {
				IoUtils.safeClose(this.connection);
			}
		}

	}

}
