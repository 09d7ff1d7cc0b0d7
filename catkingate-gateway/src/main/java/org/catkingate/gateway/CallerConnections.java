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

	private final Map<ServerConnection, Boolean> busyByConnection = new HashMap<>();

	private boolean draining;

	private boolean closingIdle;

	/**
	 * A request has arrived.
	 * @param exchange the request
	 */
	void track(HttpServerExchange exchange) {
		ServerConnection connection = exchange.getConnection();
		if (this.busyByConnection.put(connection, true) == null) {
			connection.addCloseListener(this.busyByConnection::remove);
		}
		if (this.draining) {
			exchange.setPersistent(false);
			exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
		}
		exchange.addExchangeCompleteListener((completed, next) -> {
			markIdle(connection);
			next.proceed();
		});
	}

	private void markIdle(ServerConnection connection) {
		this.busyByConnection.replace(connection, false);
		if (this.closingIdle) {
			IoUtils.safeClose(connection);
		}
	}

	/**
	 * Asks callers to use another connection next time.
	 */
	void startDraining() {
		this.draining = true;
	}

	/**
	 * Closes idle connections now, and the others behind their answers.
	 */
	void closeIdle() {
		this.closingIdle = true;
		Map.copyOf(this.busyByConnection).forEach((connection, isBusy) -> {
			if (!isBusy) {
				IoUtils.safeClose(connection);
			}
		});
	}

}
