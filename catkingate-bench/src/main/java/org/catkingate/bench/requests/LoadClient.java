package org.catkingate.bench.requests;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * An HTTP client that calls one address over persistent connections, with one call at a
 * time on each connection. Safe for use by any thread.
 */
final class LoadClient {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int NEWLINES_PER_EVENT = 2;

	private static final ThreadLocal<ByteBuffer> READ_BUFFER = ThreadLocal
		.withInitial(() -> ByteBuffer.allocateDirect(BUFFER_BYTES));

	private final ConcurrentLinkedDeque<ClientConnection> idleConnections = new ConcurrentLinkedDeque<>();

	private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

	private final XnioWorker worker;

	private final URI uri;

	LoadClient(XnioWorker worker, InetSocketAddress target) {
		this.worker = worker;
		this.uri = URI.create("http://127.0.0.1:" + target.getPort());
	}

	/**
	 * Starts one call.
	 * @param body the request body
	 * @param timeoutMillis the timeout that the request specifies, in milliseconds
	 * @param abandonAfterMillis the time after which the client abandons the call, in
	 * milliseconds; 0 for never
	 * @param onResult receives the result, exactly once
	 */
	void call(String body, long timeoutMillis, long abandonAfterMillis, Consumer<CallResult> onResult) {
		new Call(body, timeoutMillis, abandonAfterMillis, onResult).start();
	}

	/**
	 * One call. Confined to the I/O thread of its connection.
	 */
	private final class Call {

		private final long startNanos = System.nanoTime();

		private final byte[] body;

		private final long timeoutMillis;

		private final long abandonAfterMillis;

		private final Consumer<CallResult> onResult;

		private ClientConnection connection;

		private int status;

		private long firstByteNanos;

		private long newlines;

		private boolean ended;

		Call(String body, long timeoutMillis, long abandonAfterMillis, Consumer<CallResult> onResult) {
			this.body = body.getBytes(StandardCharsets.UTF_8);
			this.timeoutMillis = timeoutMillis;
			this.abandonAfterMillis = abandonAfterMillis;
			this.onResult = onResult;
		}

		void start() {
			ClientConnection reused = LoadClient.this.idleConnections.pollFirst();
			if (reused != null && reused.isOpen()) {
				reused.getIoThread().execute(() -> send(reused));
				return;
			}
			UndertowClient.getInstance()
				.connect(callback(this::send), LoadClient.this.uri, LoadClient.this.worker, LoadClient.this.buffers,
						OptionMap.create(Options.TCP_NODELAY, true));
		}

		private <T> ClientCallback<T> callback(Consumer<T> next) {
			return new ClientCallback<>() {

				@Override
				public void completed(T result) {
					next.accept(result);
				}

				@Override
				public void failed(IOException ex) {
					end(false, false);
				}

			};
		}

		private void send(ClientConnection to) {
			this.connection = to;
			if (this.abandonAfterMillis > 0) {
				to.getIoThread().executeAfter(this::abandon, this.abandonAfterMillis, TimeUnit.MILLISECONDS);
			}
			ClientRequest request = new ClientRequest().setMethod(Methods.POST).setPath("/v1/completions");
			request.getRequestHeaders()
				.put(Headers.HOST, "bench")
				.put(Headers.AUTHORIZATION, "Bearer " + RequestFleet.CLIENT_KEY)
				.put(Headers.CONTENT_LENGTH, this.body.length)
				.put(new HttpString("X-Request-Timeout-Ms"), this.timeoutMillis);
			to.sendRequest(request, callback(this::sendBody));
		}

		private void sendBody(ClientExchange exchange) {
			exchange.setResponseListener(callback(this::onResponse));
			StreamSinkChannel sink = exchange.getRequestChannel();
			try {
				ByteBuffer buffer = ByteBuffer.wrap(this.body);
				while (buffer.hasRemaining()) {
					sink.write(buffer);
				}
				sink.shutdownWrites();
				sink.flush();
			}
			catch (IOException ex) {
				end(false, false);
			}
		}

		private void onResponse(ClientExchange exchange) {
			this.status = exchange.getResponse().getResponseCode();
			StreamSourceChannel source = exchange.getResponseChannel();
			source.getReadSetter().set(this::read);
			read(source);
		}

		private void read(StreamSourceChannel source) {
			ByteBuffer buffer = READ_BUFFER.get();
			try {
				int count = 1;
				while (count > 0 && !this.ended) {
					buffer.clear();
					count = source.read(buffer);
					recordBytes(buffer.flip());
				}
				if (count < 0) {
					end(true, false);
				}
				else {
					source.resumeReads();
				}
			}
			catch (IOException ex) {
				end(false, false);
			}
		}

		private void recordBytes(ByteBuffer buffer) {
			if (this.firstByteNanos == 0 && buffer.hasRemaining()) {
				this.firstByteNanos = System.nanoTime() - this.startNanos;
			}
			while (buffer.hasRemaining()) {
				if (buffer.get() == '\n') {
					this.newlines++;
				}
			}
		}

		private void abandon() {
			end(false, true);
		}

		private void end(boolean complete, boolean abandoned) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			releaseConnection(complete);
			// the last event of a complete stream is [DONE], which is not a token
			long tokens = Math.max(0, this.newlines / NEWLINES_PER_EVENT - ((complete) ? 1 : 0));
			this.onResult.accept(new CallResult(this.status, this.firstByteNanos, System.nanoTime() - this.startNanos,
					tokens, complete, abandoned));
		}

		private void releaseConnection(boolean complete) {
			if (this.connection == null) {
				return;
			}
			if (complete && this.connection.isOpen()) {
				LoadClient.this.idleConnections.addFirst(this.connection);
				return;
			}
			try {
				// ClientConnection.close() would first drain the response; the underlying
				// connection is closed immediately
				this.connection.performUpgrade().close();
			}
			catch (IOException ex) {
				IoUtils.safeClose(this.connection);
			}
		}

	}

}
