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
final class RequestBodyReader {

	private final HttpServerExchange exchange;

	private final EntryContext context;

	private final ClientAccount account;

	private final XnioExecutor.Key timeout;

	private boolean ended;

	RequestBodyReader(HttpServerExchange exchange, EntryContext support, ClientAccount account,
			XnioExecutor.Key patience) {
		this.exchange = exchange;
		this.context = support;
		this.account = account;
		this.timeout = patience;
	}

	void read(Consumer<byte[]> whole) {
		this.exchange.getConnection().addCloseListener((closed) -> abort());
		this.exchange.getRequestReceiver().receiveFullBytes((read, body) -> {
			this.ended = true;
			this.timeout.remove();
			whole.accept(body);
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
			this.timeout.remove();
			this.context.releaseLimits(this.account);
		}
	}

}
