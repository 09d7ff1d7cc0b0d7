package org.catkingate.entry;

import java.io.IOException;
import java.util.function.Consumer;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

import org.catkingate.model.published.ClientAccount;

/**
 * A reader of the complete body of one request. If the caller closes the connection or
 * exceeds the time-out, the connection is closed and the request is no longer counted
 * against the limits of its account; this happens exactly once. Used on the exchange's
 * I/O thread only.
 */
final class RequestBodyReader {

	private final HttpServerExchange exchange;

	private final RequestDispatcher dispatcher;

	private final ClientAccount account;

	private final XnioExecutor.Key timeoutTask;

	private boolean ended;

	RequestBodyReader(HttpServerExchange exchange, RequestDispatcher dispatcher, ClientAccount account,
			XnioExecutor.Key timeoutTask) {
		this.exchange = exchange;
		this.dispatcher = dispatcher;
		this.account = account;
		this.timeoutTask = timeoutTask;
	}

	void read(Consumer<byte[]> onComplete) {
		this.exchange.getConnection().addCloseListener((closed) -> abort());
		this.exchange.getRequestReceiver().receiveFullBytes((completed, body) -> {
			this.ended = true;
			this.timeoutTask.remove();
			onComplete.accept(body);
		}, (failed, error) -> fail(error));
	}

	private void fail(IOException error) {
		abort();
		if (error instanceof Receiver.RequestToLargeException) {
			FailureWriter.write(this.exchange,
					Failure.of(FailureKind.BODY_TOO_LONG, "the body is longer than allowed; send less"));
			return;
		}
		IoUtils.safeClose(this.exchange.getConnection());
	}

	private void abort() {
		if (!this.ended) {
			this.ended = true;
			this.timeoutTask.remove();
			this.dispatcher.releaseLimits(this.account);
		}
	}

}
