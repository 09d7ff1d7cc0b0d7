package org.catkingate.entry;

import java.io.IOException;
import java.util.function.Consumer;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

import org.catkingate.model.published.ClientAccount;
import org.catkingate.runtime.http.CloseHandler;

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

	private CloseHandler closeHandler;

	private boolean ended;

	RequestBodyReader(HttpServerExchange exchange, RequestDispatcher dispatcher, ClientAccount account,
			XnioExecutor.Key timeoutTask) {
		this.exchange = exchange;
		this.dispatcher = dispatcher;
		this.account = account;
		this.timeoutTask = timeoutTask;
	}

	void read(Consumer<byte[]> onComplete) {
		ServerConnection connection = this.exchange.getConnection();
		this.closeHandler = CloseHandler.of(connection,
				(onClose) -> connection.addCloseListener((closed) -> onClose.run()));
		this.closeHandler.set(this::abort);
		this.exchange.getRequestReceiver().receiveFullBytes((completed, body) -> {
			end();
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

	private void end() {
		this.ended = true;
		this.timeoutTask.remove();
		this.closeHandler.clear();
	}

	private void abort() {
		if (!this.ended) {
			end();
			this.dispatcher.releaseLimits(this.account);
		}
	}

}
