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
import io.undertow.client.UndertowClient;
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
 * HTTP calls whose answers are read whole, over connections that are kept for the next
 * call to the same address. Every call ends within its timeout. Safe for use by any
 * thread.
 *
 * @since 0.1
 */
public final class HttpCalls {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int MAX_IDLE_CONNECTIONS_PER_ADDRESS = 8;

	private final XnioWorker worker;

	private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

	private final Map<String, Deque<ClientConnection>> idle = new HashMap<>();

	private HttpCalls(XnioWorker worker) {
		this.worker = worker;
	}

	/**
	 * Makes calls on the I/O threads of a worker.
	 * @param worker the worker
	 * @return the calls, never null
	 */
	public static HttpCalls on(XnioWorker worker) {
		return new HttpCalls(worker);
	}

	/**
	 * Makes one call.
	 * @param base the scheme, host and port
	 * @param request the request; its host header is set here
	 * @param body writes the body
	 * @param maximumBytes the longest body of an answer, in bytes
	 * @param timeoutMillis the time for the whole answer, in milliseconds
	 * @return the whole answer, whatever its status, or the failure
	 */
	public CompletableFuture<Answer> call(URI base, ClientRequest request, Body body, int maximumBytes,
			long timeoutMillis) {
		return call(base, request, body, maximumBytes, new Patience(timeoutMillis, timeoutMillis));
	}

	/**
	 * Makes one call.
	 * @param base the scheme, host and port
	 * @param request the request; its host header is set here
	 * @param body writes the body
	 * @param maximumBytes the longest body of an answer, in bytes
	 * @param patience how long the answer may take
	 * @return the whole answer, whatever its status, or the failure
	 */
	public CompletableFuture<Answer> call(URI base, ClientRequest request, Body body, int maximumBytes,
			Patience patience) {
		request.getRequestHeaders().put(Headers.HOST, base.getAuthority());
		Call call = new Call(base, request, body, maximumBytes, patience);
		call.startTimers();
		ClientConnection kept = takeIdle(base);
		if (kept != null) {
			call.completed(kept);
		}
		else {
			UndertowClient.getInstance().connect(call, base, this.worker, this.buffers, OptionMap.EMPTY);
		}
		return call.response;
	}

	private ClientConnection takeIdle(URI base) {
		synchronized (this.idle) {
			Deque<ClientConnection> connections = this.idle.get(base.getAuthority());
			while (connections != null && !connections.isEmpty()) {
				ClientConnection connection = connections.pop();
				if (connection.isOpen()) {
					return connection;
				}
			}
			return null;
		}
	}

	private void keep(URI base, ClientConnection connection) {
		synchronized (this.idle) {
			Deque<ClientConnection> connections = this.idle.computeIfAbsent(base.getAuthority(),
					(authority) -> new ArrayDeque<>());
			if (connection.isOpen() && connections.size() < MAX_IDLE_CONNECTIONS_PER_ADDRESS) {
				connections.push(connection);
				return;
			}
		}
		IoUtils.safeClose(connection);
	}

	/**
	 * How long an answer may take.
	 *
	 * @param idleMillis the longest time in which nothing of it comes, in milliseconds
	 * @param totalMillis the time for the whole, in milliseconds
	 */
	public record Patience(long idleMillis, long totalMillis) {

		public Patience {
			if (idleMillis < 1 || totalMillis < idleMillis) {
				throw new IllegalArgumentException("the times of a call must be positive and in order");
			}
		}

	}

	/**
	 * Writes the body of a request.
	 */
	@FunctionalInterface
	public interface Body {

		/**
		 * Starts the writing. Called by an I/O thread, and must not block it.
		 * @param channel where to write; the body shuts it down at its end
		 * @param failed is told if the body cannot be written whole
		 */
		void write(StreamSinkChannel channel, Consumer<Exception> failed);

		/**
		 * A body without bytes.
		 * @return the body, never null
		 */
		static Body none() {
			return (channel, failed) -> {
				try {
					channel.shutdownWrites();
					if (!channel.flush()) {
						channel.getWriteSetter()
							.set(ChannelListeners.flushingChannelListener(null, (sink, ex) -> failed.accept(ex)));
						channel.resumeWrites();
					}
				}
				catch (IOException ex) {
					failed.accept(ex);
				}
			};
		}

		/**
		 * A body that is held in memory.
		 * @param bytes the body; the request must name its length
		 * @return the body, never null
		 */
		static Body of(byte[] bytes) {
			return (channel, failed) -> BodyWriter.write(bytes, channel, () -> {
			}, failed::accept);
		}

	}

	/**
	 * A whole answer.
	 *
	 * @param status the HTTP status
	 * @param headers the headers
	 * @param body the body
	 */
	public record Answer(int status, HeaderMap headers, byte[] body) {

		/**
		 * Looks up a header.
		 * @param name its name
		 * @return its first value, or null
		 */
		public String header(String name) {
			return this.headers.getFirst(new HttpString(name));
		}

	}

	/**
	 * One call in progress; its steps happen on I/O threads.
	 */
	private final class Call implements ClientCallback<ClientConnection> {

		private final URI base;

		private final ClientRequest request;

		private final Body body;

		private final int maxBytes;

		private final CompletableFuture<Answer> response = new CompletableFuture<>();

		private final ByteArrayOutputStream received = new ByteArrayOutputStream();

		private final Patience timeouts;

		private volatile XnioExecutor.Key idleTimer;

		private volatile XnioExecutor.Key totalTimer;

		private volatile ClientConnection connection;

		private Call(URI base, ClientRequest request, Body body, int maximumBytes, Patience patience) {
			this.base = base;
			this.request = request;
			this.body = body;
			this.maxBytes = maximumBytes;
			this.timeouts = patience;
		}

		private void startTimers() {
			this.totalTimer = failAfter(this.timeouts.totalMillis(), "gave no whole answer");
			this.idleTimer = failAfter(this.timeouts.idleMillis(), "sent nothing");
		}

		private XnioExecutor.Key failAfter(long millis, String what) {
			return HttpCalls.this.worker.getIoThread()
				.executeAfter(() -> fail(new IOException(this.base + " " + what + " within " + millis + " ms")), millis,
						TimeUnit.MILLISECONDS);
		}

		private void restartIdleTimer() {
			this.idleTimer.remove();
			if (!this.response.isDone()) {
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
			if (this.response.isDone()) {
				IoUtils.safeClose(opened);
				return;
			}
			opened.getIoThread().execute(() -> opened.sendRequest(this.request, new ClientCallback<>() {

				@Override
				public void completed(ClientExchange exchange) {
					started(exchange);
				}

				@Override
				public void failed(IOException ex) {
					fail(ex);
				}

			}));
		}

		private void started(ClientExchange exchange) {
			exchange.setResponseListener(new ClientCallback<>() {

				@Override
				public void completed(ClientExchange result) {
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
					add(buffer);
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

		private void add(ByteBuffer buffer) throws IOException {
			if (this.received.size() + buffer.position() > this.maxBytes) {
				throw new IOException(
						"answer of " + this.base + " is longer than the allowed " + this.maxBytes + " bytes");
			}
			this.received.write(buffer.array(), 0, buffer.position());
			buffer.clear();
		}

		private void finish(ClientExchange exchange) {
			Answer whole = new Answer(exchange.getResponse().getResponseCode(),
					exchange.getResponse().getResponseHeaders(), this.received.toByteArray());
			if (this.response.isDone()) {
				return;
			}
			stopTimers();
			keep(this.base, this.connection);
			this.response.complete(whole);
		}

		@Override
		public void failed(IOException ex) {
			fail(ex);
		}

		private void fail(Exception ex) {
			stopTimers();
			if (this.response.completeExceptionally(ex)) {
				IoUtils.safeClose(this.connection);
			}
		}

	}

}
