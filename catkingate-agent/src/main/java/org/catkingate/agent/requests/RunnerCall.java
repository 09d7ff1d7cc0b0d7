package org.catkingate.agent.requests;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSourceChannel;

import org.catkingate.wire.Traffic;

/**
 * One call to a runner over one connection. Everything happens on the connection's I/O
 * thread, but for {@link #resume()} and {@link #abort()}, which any thread may call.
 */
final class RunnerCall {

	private static final int READ_BYTES = 32 * 1024;

	private static final String EVENT_STREAM = "text/event-stream";

	private static final Set<HttpString> OWN_HEADERS = Set.of(Headers.HOST, Headers.CONTENT_LENGTH,
			Headers.TRANSFER_ENCODING, Headers.CONNECTION, Headers.KEEP_ALIVE, Headers.TE, Headers.TRAILER,
			Headers.UPGRADE, Headers.EXPECT);

	private static final ThreadLocal<ByteBuffer> READ_BUFFER = ThreadLocal
		.withInitial(() -> ByteBuffer.allocateDirect(READ_BYTES));

	private final ClientConnection connection;

	private final Listener listener;

	private final EventStreamEnd events = new EventStreamEnd();

	private StreamSourceChannel source;

	private boolean eventStream;

	private boolean delimited;

	private boolean over;

	private RunnerCall(ClientConnection connection, Listener listener) {
		this.connection = connection;
		this.listener = listener;
	}

	/**
	 * Sends the request.
	 * @param connection the connection, which the call has for itself
	 * @param authority the runner's host and port
	 * @param dispatch the request
	 * @param listener is told of the answer
	 * @return the call, never null
	 */
	static RunnerCall start(ClientConnection connection, String authority, Traffic.Dispatch dispatch,
			Listener listener) {
		RunnerCall call = new RunnerCall(connection, listener);
		connection.addCloseListener((closed) -> call.fail("the runner closed the connection"));
		connection.sendRequest(request(authority, dispatch), new ClientCallback<>() {

			@Override
			public void completed(ClientExchange exchange) {
				call.sent(exchange, dispatch.body());
			}

			@Override
			public void failed(IOException ex) {
				call.fail(ex.getMessage());
			}

		});
		return call;
	}

	private static ClientRequest request(String authority, Traffic.Dispatch dispatch) {
		ClientRequest request = new ClientRequest();
		request.setMethod(HttpString.tryFromString(dispatch.method()));
		request.setPath(dispatch.target());
		for (Traffic.Header header : dispatch.headers()) {
			HttpString name = new HttpString(header.name());
			if (!OWN_HEADERS.contains(name)) {
				request.getRequestHeaders().add(name, header.value());
			}
		}
		request.getRequestHeaders().put(Headers.HOST, authority);
		request.getRequestHeaders().put(new HttpString("X-Request-Id"), dispatch.request().toString());
		request.getRequestHeaders().put(new HttpString("X-Priority"), Integer.toString(dispatch.priority()));
		if (dispatch.idempotencyKey() != null) {
			request.getRequestHeaders().put(new HttpString("Idempotency-Key"), dispatch.idempotencyKey());
		}
		if (dispatch.body().length > 0 || !isBodiless(dispatch.method())) {
			request.getRequestHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(dispatch.body().length));
		}
		return request;
	}

	private static boolean isBodiless(String method) {
		return method.equals(Methods.GET_STRING) || method.equals(Methods.HEAD_STRING);
	}

	private void sent(ClientExchange exchange, byte[] body) {
		exchange.setResponseListener(new ClientCallback<>() {

			@Override
			public void completed(ClientExchange answered) {
				answered(answered);
			}

			private void answered(ClientExchange answered) {
				RunnerCall.this.answered(answered);
			}

			@Override
			public void failed(IOException ex) {
				fail(ex.getMessage());
			}

		});
		BodyWriter.write(body, exchange.getRequestChannel(), (ex) -> fail(ex.getMessage()));
	}

	private void answered(ClientExchange exchange) {
		if (this.over) {
			return;
		}
		ClientResponse response = exchange.getResponse();
		this.eventStream = isEventStream(response);
		this.delimited = isDelimited(exchange.getRequest(), response);
		if (!this.listener.head(response.getResponseCode(), headers(response))) {
			this.over = true;
			cut();
			return;
		}
		this.source = exchange.getResponseChannel();
		this.source.getReadSetter().set((channel) -> read());
		read();
	}

	private static boolean isEventStream(ClientResponse response) {
		String type = response.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
		return type != null && type.startsWith(EVENT_STREAM);
	}

	private static boolean isDelimited(ClientRequest request, ClientResponse response) {
		return response.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
				|| response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING)
				|| request.getMethod().equals(Methods.HEAD) || response.getResponseCode() == 204
				|| response.getResponseCode() == 304;
	}

	private static List<Traffic.Header> headers(ClientResponse response) {
		List<Traffic.Header> headers = new ArrayList<>();
		for (HeaderValues values : response.getResponseHeaders()) {
			for (String value : values) {
				headers.add(new Traffic.Header(values.getHeaderName().toString(), value));
			}
		}
		return headers;
	}

	private void read() {
		ByteBuffer buffer = READ_BUFFER.get();
		try {
			while (!this.over) {
				if (!this.listener.hasRoom()) {
					this.source.suspendReads();
					return;
				}
				buffer.clear();
				int last = fill(buffer);
				deliver(buffer.flip());
				if (last < 0) {
					end();
					return;
				}
				if (last == 0) {
					this.source.resumeReads();
					return;
				}
			}
		}
		catch (IOException ex) {
			fail(ex.getMessage());
		}
	}

	private int fill(ByteBuffer buffer) throws IOException {
		int count = 1;
		while (count > 0 && buffer.hasRemaining()) {
			count = this.source.read(buffer);
		}
		return count;
	}

	private void deliver(ByteBuffer buffer) {
		if (!buffer.hasRemaining()) {
			return;
		}
		byte[] bytes = new byte[buffer.remaining()];
		buffer.get(bytes);
		if (this.eventStream) {
			this.events.append(bytes);
		}
		this.listener.data(bytes);
	}

	private void end() {
		boolean whole = (this.eventStream) ? this.events.isWhole() : this.delimited;
		if (!whole) {
			fail("the runner's answer broke off before its end");
			return;
		}
		this.over = true;
		this.listener.ended(this.connection);
	}

	private void fail(String reason) {
		if (!this.over) {
			this.over = true;
			cut();
			this.listener.failed(reason);
		}
	}

	/**
	 * Closes the socket. The client's own close would first wait for the rest of the
	 * answer, while the runner goes on.
	 */
	private void cut() {
		try {
			this.connection.performUpgrade().close();
		}
		catch (IOException ex) {
			IoUtils.safeClose(this.connection);
		}
	}

	/**
	 * Goes on reading, since there is room.
	 */
	void resume() {
		this.connection.getIoThread().execute(() -> {
			if (!this.over && this.source != null) {
				read();
			}
		});
	}

	/**
	 * Closes the connection, which makes the runner stop.
	 */
	void abort() {
		this.connection.getIoThread().execute(() -> fail("aborted"));
	}

	/**
	 * Is told of the answer, on the I/O thread of the connection.
	 */
	interface Listener {

		/**
		 * The head has arrived.
		 * @param status the HTTP status
		 * @param headers the headers
		 * @return whether to go on; else the connection is closed and nothing more told
		 */
		boolean head(int status, List<Traffic.Header> headers);

		/**
		 * Tells whether a piece of the body would be taken now.
		 * @return whether to read on
		 */
		boolean hasRoom();

		/**
		 * A piece of the body has arrived.
		 * @param bytes the piece
		 */
		void data(byte[] bytes);

		/**
		 * The answer has ended properly.
		 * @param connection the connection, which can be used again
		 */
		void ended(ClientConnection connection);

		/**
		 * The answer has broken off, or never came.
		 * @param reason why
		 */
		void failed(String reason);

	}

}
