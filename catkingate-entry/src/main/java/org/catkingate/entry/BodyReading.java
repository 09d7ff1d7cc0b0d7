package org.catkingate.entry;

import java.io.IOException;
import java.util.function.Consumer;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

import org.catkingate.model.published.ClientAccount;

/**
 * Reads the body of one request whole. If the caller breaks off or is too slow, its
 * connection is closed and its account's place freed, exactly once. Used on the
 * exchange's I/O thread only.
 */
final class BodyReading {

	private final HttpServerExchange exchange;

	private final CallSupport support;

	private final ClientAccount account;

	private final XnioExecutor.Key patience;

	private boolean over;

	BodyReading(HttpServerExchange exchange, CallSupport support, ClientAccount account, XnioExecutor.Key patience) {
		this.exchange = exchange;
		this.support = support;
		this.account = account;
		this.patience = patience;
	}

	void start(Consumer<byte[]> whole) {
		this.exchange.getConnection().addCloseListener((closed) -> broken());
		this.exchange.getRequestReceiver().receiveFullBytes((read, body) -> {
			this.over = true;
			this.patience.remove();
			whole.accept(body);
		}, (failed, error) -> fail(error));
	}

	private void fail(IOException error) {
		broken();
		if (error instanceof Receiver.RequestToLargeException) {
			FailureWriter.write(this.exchange,
					Failure.of(FailureKind.BODY_TOO_LONG, "the body is longer than allowed; send less"));
			return;
		}
		IoUtils.safeClose(this.exchange.getConnection());
	}

	private void broken() {
		if (!this.over) {
			this.over = true;
			this.patience.remove();
			this.support.abandoned(this.account);
		}
	}

}
