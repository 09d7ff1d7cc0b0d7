package org.catkingate.gateway;

import java.util.HashMap;
import java.util.Map;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.Headers;
import org.xnio.IoUtils;

/**
 * The callers' connections and which of them carry a request now. When the process is
 * leaving, each closes behind its next answer, and idle ones are closed when no more
 * callers are sent here. Used by the traffic thread only.
 */
final class CallerConnections {

	private final Map<ServerConnection, Boolean> busy = new HashMap<>();

	private boolean leaving;

	private boolean closing;

	/**
	 * A request has arrived.
	 * @param exchange the request
	 */
	void begun(HttpServerExchange exchange) {
		ServerConnection connection = exchange.getConnection();
		if (this.busy.put(connection, true) == null) {
			connection.addCloseListener(this.busy::remove);
		}
		if (this.leaving) {
			exchange.setPersistent(false);
			exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
		}
		exchange.addExchangeCompleteListener((completed, next) -> {
			ended(connection);
			next.proceed();
		});
	}

	private void ended(ServerConnection connection) {
		this.busy.replace(connection, false);
		if (this.closing) {
			IoUtils.safeClose(connection);
		}
	}

	/**
	 * Asks callers to use another connection next time.
	 */
	void leave() {
		this.leaving = true;
	}

	/**
	 * Closes idle connections now, and the others behind their answers.
	 */
	void closeIdle() {
		this.closing = true;
		Map.copyOf(this.busy).forEach((connection, isBusy) -> {
			if (!isBusy) {
				IoUtils.safeClose(connection);
			}
		});
	}

}
