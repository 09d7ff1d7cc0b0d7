package org.catkingate.runtime.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.Attachable;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * One HTTP call over one connection, whose response is passed to a listener as it
 * arrives. Runs on the connection's I/O thread; only {@link #resume()} and
 * {@link #abort()} may be called by any thread.
 *
 * @since 0.1
 */
public final class StreamedCall {

	/**
	 * The headers of a request that concern only one connection and are not forwarded.
	 */
	public static final Set<HttpString> REQUEST_HEADERS_NOT_FORWARDED = Set.of(Headers.HOST, Headers.CONTENT_LENGTH,
			Headers.TRANSFER_ENCODING, Headers.CONNECTION, Headers.KEEP_ALIVE, Headers.TE, Headers.TRAILER,
			Headers.UPGRADE, Headers.EXPECT);

	private static final int READ_BYTES = 32 * 1024;

	/**
	 * The number of parts after which other connections of the I/O thread have their
	 * turn, so that a response that arrives without a pause does not delay them.
	 */
	private static final int MAX_PARTS_PER_TURN = 8;

	/**
	 * The pause after such a turn, in milliseconds. The I/O thread runs the tasks in its
	 * queue before it handles the events of connections, also tasks that are added
	 * meanwhile, but not tasks with a delay.
	 */
	private static final long PAUSE_BETWEEN_TURNS_MILLIS = 1;

	/**
	 * The maximum number of bytes of a response that are read although nobody needs them,
	 * so that the connection can be reused.
	 */
	private static final int MAX_DISCARDED_BYTES = 64 * 1024;

	/** The time in which a discarded response must end, in milliseconds. */
	private static final long MAX_DISCARD_MILLIS = 1000;

	private static final ThreadLocal<ByteBuffer> READ_BUFFER = ThreadLocal
		.withInitial(() -> ByteBuffer.allocateDirect(READ_BYTES));

	private final ClientConnection connection;

	private final CloseHandler closeHandler;

	private final ReceiveLimit receiveLimit;

	private final ResponseBytes responseBytes;

	private final Listener listener;

	private StreamSourceChannel source;

	private boolean delimited;

	private boolean requestSent;

	private boolean reading;

	/** The bytes that may still be read, unlimited unless the response is discarded. */
	private long remainingBytes = Long.MAX_VALUE;

	/** Null unless the response is discarded. */
	private XnioExecutor.Key discardTimer;

	private boolean finished;

	private StreamedCall(ClientConnection connection, Listener listener) {
		this.connection = connection;
		this.receiveLimit = ReceiveLimit.of(connection);
		this.responseBytes = ResponseBytes.of(connection);
		this.listener = listener;
		this.closeHandler = CloseHandler.of((Attachable) connection,
				(onClose) -> connection.addCloseListener((closed) -> onClose.run()));
		this.closeHandler.set(this::connectionClosed);
	}

	/**
	 * Sends the request.
	 * @param connection the connection, which no other call may use until this one has
	 * finished
	 * @param request the request; its length is set here
	 * @param body the body
	 * @param listener the listener to the response
	 * @return the call, never null
	 */
	public static StreamedCall start(ClientConnection connection, ClientRequest request, byte[] body,
			Listener listener) {
		StreamedCall call = new StreamedCall(connection, listener);
		if (body.length > 0 || !isBodiless(request.getMethod())) {
			request.getRequestHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(body.length));
		}
		call.receiveLimit.expectHead();
		call.responseBytes.expectHead();
		connection.sendRequest(request, new ClientCallback<>() {

			@Override
			public void completed(ClientExchange exchange) {
				call.send(exchange, body);
			}

			@Override
			public void failed(IOException ex) {
				call.fail(reason(ex));
			}

		});
		return call;
	}

	/**
	 * Returns whether no call has started on a connection, so that whatever arrives first
	 * belongs to the next one. Must be called on the I/O thread of the connection.
	 * @param connection the connection
	 * @return whether the next call is the first one
	 */
	public static boolean isUnused(ClientConnection connection) {
		return !CloseHandler.isPresent((Attachable) connection);
	}

	// During a read, the result of the read shows whether the response is complete.
	private void connectionClosed() {
		if (!this.reading) {
			fail("the connection was closed");
		}
	}

	private static boolean isBodiless(HttpString method) {
		return method.equals(Methods.GET) || method.equals(Methods.HEAD);
	}

	private void send(ClientExchange exchange, byte[] body) {
		exchange.setResponseListener(new ClientCallback<>() {

			@Override
			public void completed(ClientExchange result) {
				responded(result);
			}

			@Override
			public void failed(IOException ex) {
				fail(reason(ex));
			}

		});
		BodyWriter.write(body, exchange.getRequestChannel(), () -> this.requestSent = true, (ex) -> fail(reason(ex)));
	}

	private void responded(ClientExchange exchange) {
		if (this.finished) {
			return;
		}
		ClientResponse response = exchange.getResponse();
		if (ResponseFraming.isAmbiguous(response)) {
			fail("the headers of the response do not tell where its body ends");
			return;
		}
		this.delimited = ResponseFraming.isDelimited(exchange.getRequest(), response);
		if (!this.listener.onHead(response)) {
			markFinished();
			closeSocket();
			return;
		}
		if (this.finished) {
			return;
		}
		this.receiveLimit.expectData();
		try {
			this.responseBytes.expectBody(exchange.getRequest(), response);
		}
		catch (IOException ex) {
			fail(reason(ex));
			return;
		}
		this.source = exchange.getResponseChannel();
		this.source.getReadSetter().set((channel) -> read());
		read();
	}

	private void read() {
		ByteBuffer buffer = READ_BUFFER.get();
		try {
			for (int part = 0; !this.finished; part++) {
				if (part >= MAX_PARTS_PER_TURN) {
					this.source.suspendReads();
					this.connection.getIoThread()
						.executeAfter(this::continueReading, PAUSE_BETWEEN_TURNS_MILLIS, TimeUnit.MILLISECONDS);
					return;
				}
				if (!this.listener.canAccept()) {
					this.source.suspendReads();
					return;
				}
				buffer.clear();
				int lastCount = fill(buffer);
				deliver(buffer.flip());
				if (this.finished) {
					return;
				}
				if (lastCount < 0) {
					end();
					return;
				}
				if (lastCount == 0) {
					this.source.resumeReads();
					return;
				}
			}
		}
		catch (IOException ex) {
			fail(reason(ex));
		}
	}

	private int fill(ByteBuffer buffer) throws IOException {
		this.reading = true;
		try {
			int count = 1;
			while (count > 0 && buffer.hasRemaining()) {
				count = this.source.read(buffer);
			}
			return count;
		}
		finally {
			this.reading = false;
		}
	}

	private void deliver(ByteBuffer buffer) {
		if (buffer.hasRemaining()) {
			byte[] bytes = new byte[buffer.remaining()];
			buffer.get(bytes);
			this.remainingBytes -= bytes.length;
			if (this.remainingBytes < 0) {
				fail("more than " + MAX_DISCARDED_BYTES + " bytes followed that are not needed");
				return;
			}
			this.receiveLimit.expectData();
			this.listener.onData(bytes);
		}
	}

	/**
	 * Discards the rest of the response. It is read only if it is short, so that the
	 * connection can be reused; otherwise the connection is closed. The listener is
	 * notified as before. Must be called on the I/O thread of the connection.
	 */
	public void discard() {
		if (this.finished || this.discardTimer != null) {
			return;
		}
		this.remainingBytes = MAX_DISCARDED_BYTES;
		this.discardTimer = this.connection.getIoThread()
			.executeAfter(() -> fail("a response that is not needed did not end within " + MAX_DISCARD_MILLIS + " ms"),
					MAX_DISCARD_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void markFinished() {
		this.finished = true;
		this.closeHandler.clear();
		if (this.discardTimer != null) {
			this.discardTimer.remove();
		}
	}

	private void end() {
		if (this.delimited && !this.responseBytes.isEnded()) {
			fail("the body of the response broke off");
			return;
		}
		markFinished();
		this.listener.onEnd(new Completion(this.connection, this.delimited, this.requestSent));
	}

	// Some exceptions of closed channels have no message.
	private static String reason(IOException ex) {
		return (ex.getMessage() != null) ? ex.getMessage() : ex.getClass().getSimpleName();
	}

	private void fail(String reason) {
		if (!this.finished) {
			markFinished();
			closeSocket();
			this.listener.onFailure(reason);
		}
	}

	/**
	 * Closes the socket. The close method of Undertow's client would first wait for the
	 * rest of the response, while the runner continues to generate it.
	 */
	private void closeSocket() {
		try {
			this.connection.performUpgrade().close();
		}
		catch (IOException ex) {
			IoUtils.safeClose(this.connection);
		}
	}

	/**
	 * Resumes reading after the listener could not accept more data.
	 */
	public void resume() {
		this.connection.getIoThread().execute(this::continueReading);
	}

	private void continueReading() {
		if (!this.finished && this.source != null) {
			read();
		}
	}

	/**
	 * Closes the connection, so that the runner stops responding. The listener is
	 * notified of the failure.
	 */
	public void abort() {
		this.connection.getIoThread().execute(() -> fail("aborted"));
	}

	/**
	 * The completion of a response.
	 *
	 * @param connection the connection
	 * @param delimited whether the end of the response was marked by its length or
	 * encoding, not by the end of the connection
	 * @param requestSent whether the complete request was sent before the response ended
	 */
	public record Completion(ClientConnection connection, boolean delimited, boolean requestSent) {

		/**
		 * Returns whether the connection can be used for another call.
		 * @return whether request and response are complete, nothing has followed the
		 * response and the connection is open
		 */
		public boolean isReusable() {
			return this.delimited && this.requestSent && this.connection.isOpen()
					&& ResponseBytes.of(this.connection).isAtEnd();
		}

		/**
		 * Closes the connection.
		 */
		public void close() {
			IoUtils.safeClose(this.connection);
		}

	}

	/**
	 * A listener to the response, called on the I/O thread of the connection.
	 */
	public interface Listener {

		/**
		 * Called when the status and the headers have arrived.
		 * @param response the status and the headers
		 * @return whether to continue; if not, the connection is closed and the listener
		 * is not called again
		 */
		boolean onHead(ClientResponse response);

		/**
		 * Returns whether the listener can accept a part of the body now. If not, reading
		 * stops until {@link StreamedCall#resume()} is called.
		 * @return whether to continue reading
		 */
		boolean canAccept();

		/**
		 * Called when a part of the body has arrived.
		 * @param bytes the part
		 */
		void onData(byte[] bytes);

		/**
		 * Called when the response is complete.
		 * @param completion the completion
		 */
		void onEnd(Completion completion);

		/**
		 * Called when the response broke off or did not arrive.
		 * @param reason the reason
		 */
		void onFailure(String reason);

	}

}
