package org.catkingate.agent.requests;

import java.util.ArrayList;
import java.util.List;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import org.catkingate.runtime.http.StreamedCall;
import org.catkingate.wire.RequestMessage;

/**
 * One call to a runner over one connection. All methods run on the connection's I/O
 * thread, except {@link #resume()} and {@link #abort()}, which any thread may call.
 */
final class RunnerCall implements StreamedCall.Listener {

	private static final String EVENT_STREAM_TYPE = "text/event-stream";

	private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

	private final String requestId;

	private final Listener listener;

	private final EventStreamEndDetector endDetector = new EventStreamEndDetector();

	private volatile StreamedCall call;

	private boolean eventStream;

	private RunnerCall(String requestId, Listener listener) {
		this.requestId = requestId;
		this.listener = listener;
	}

	/**
	 * Sends the request.
	 * @param connection the connection, used by this call only
	 * @param authority the runner's host and port
	 * @param dispatch the request
	 * @param listener is notified of the response
	 * @return the call, never null
	 */
	static RunnerCall start(ClientConnection connection, String authority, RequestMessage.Dispatch dispatch,
			Listener listener) {
		RunnerCall call = new RunnerCall(dispatch.request().toString(), listener);
		call.call = StreamedCall.start(connection, request(authority, dispatch), dispatch.body(), call);
		return call;
	}

	private static ClientRequest request(String authority, RequestMessage.Dispatch dispatch) {
		ClientRequest request = new ClientRequest();
		request.setMethod(HttpString.tryFromString(dispatch.method()));
		request.setPath(dispatch.target());
		for (RequestMessage.Header header : dispatch.headers()) {
			HttpString name = new HttpString(header.name());
			if (!StreamedCall.REQUEST_HEADERS_NOT_FORWARDED.contains(name)) {
				request.getRequestHeaders().add(name, header.value());
			}
		}
		request.getRequestHeaders().put(Headers.HOST, authority);
		request.getRequestHeaders().put(REQUEST_ID, dispatch.request().toString());
		request.getRequestHeaders().put(new HttpString("X-Priority"), Integer.toString(dispatch.priority()));
		if (dispatch.idempotencyKey() != null) {
			request.getRequestHeaders().put(new HttpString("Idempotency-Key"), dispatch.idempotencyKey());
		}
		return request;
	}

	@Override
	public boolean onHead(ClientResponse response) {
		String answeredId = response.getResponseHeaders().getFirst(REQUEST_ID);
		if (answeredId != null && !answeredId.equals(this.requestId)) {
			// a late response to an earlier request on the connection
			this.listener.onFailure("the runner answered another request");
			return false;
		}
		String type = response.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
		this.eventStream = type != null && type.startsWith(EVENT_STREAM_TYPE);
		return this.listener.onHead(response.getResponseCode(), headers(response));
	}

	private static List<RequestMessage.Header> headers(ClientResponse response) {
		List<RequestMessage.Header> headers = new ArrayList<>();
		for (HeaderValues values : response.getResponseHeaders()) {
			for (String value : values) {
				headers.add(new RequestMessage.Header(values.getHeaderName().toString(), value));
			}
		}
		return headers;
	}

	@Override
	public boolean canAccept() {
		return this.listener.canAccept();
	}

	@Override
	public void onData(byte[] bytes) {
		if (this.eventStream) {
			this.endDetector.append(bytes);
		}
		this.listener.onData(bytes);
	}

	@Override
	public void onEnd(StreamedCall.Completion end) {
		boolean complete = (this.eventStream) ? this.endDetector.isComplete() : end.delimited();
		if (complete) {
			this.listener.onEnd(end);
			return;
		}
		end.close();
		this.listener.onFailure("the runner's answer broke off before its end");
	}

	@Override
	public void onFailure(String reason) {
		this.listener.onFailure(reason);
	}

	/**
	 * Resumes reading, since the listener accepts data again.
	 */
	void resume() {
		this.call.resume();
	}

	/**
	 * Closes the connection, which makes the runner stop the request.
	 */
	void abort() {
		this.call.abort();
	}

	/**
	 * Listener for the response, called on the I/O thread of the connection.
	 */
	interface Listener {

		/**
		 * Called when the head of the response has been received.
		 * @param status the HTTP status
		 * @param headers the headers
		 * @return whether to continue; otherwise the connection is closed and the
		 * listener is not called again
		 */
		boolean onHead(int status, List<RequestMessage.Header> headers);

		/**
		 * Returns whether the listener accepts more of the body now.
		 * @return whether to continue reading
		 */
		boolean canAccept();

		/**
		 * Called when a part of the body has been received.
		 * @param bytes the bytes
		 */
		void onData(byte[] bytes);

		/**
		 * Called when the response is complete.
		 * @param end the completion, whose connection may be reusable
		 */
		void onEnd(StreamedCall.Completion end);

		/**
		 * Called when the response was cut off or did not arrive.
		 * @param reason the reason
		 */
		void onFailure(String reason);

	}

}
