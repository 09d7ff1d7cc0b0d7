package org.catkingate.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.Headers;
import org.xnio.IoUtils;

/**
 * The connections of callers, and which of them have a request in progress: from the
 * arrival of its head until the response is handed over to the operating system. While
 * the process is draining, each connection is closed after its next response; idle ones
 * are closed once the process no longer accepts connections. Used by the traffic thread
 * only.
 */
final class CallerConnections {

	private final Map<ServerConnection, Boolean> busyByConnection = new HashMap<>();

	private final Consumer<ServerConnection> requestEndListener;

	private boolean draining;

	private boolean closingIdle;

	private boolean ended;

	/**
	 * Creates a record without connections.
	 * @param requestEndListener receives each connection on which a request has ended or
	 * that has closed
	 */
	CallerConnections(Consumer<ServerConnection> requestEndListener) {
		this.requestEndListener = requestEndListener;
	}

	/**
	 * Records that a request has arrived, and tracks its connection until it closes.
	 * @param exchange the exchange of the request
	 */
	void track(HttpServerExchange exchange) {
		ServerConnection connection = exchange.getConnection();
		if (this.busyByConnection.put(connection, true) == null) {
			connection.addCloseListener(this::remove);
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

	private void remove(ServerConnection connection) {
		this.busyByConnection.remove(connection);
		this.requestEndListener.accept(connection);
	}

	private void markIdle(ServerConnection connection) {
		this.requestEndListener.accept(connection);
		this.busyByConnection.replace(connection, false);
		if (this.closingIdle) {
			IoUtils.safeClose(connection);
		}
	}

	/**
	 * Starts draining: each response to a later request closes its connection.
	 */
	void startDraining() {
		this.draining = true;
	}

	/**
	 * Returns the number of connections with a request in progress.
	 * @return the number
	 */
	int inProgress() {
		return (int) this.busyByConnection.values().stream().filter((busy) -> busy).count();
	}

	/**
	 * Ends the intake if idle connections are closed and no request is in progress.
	 */
	void endIfIdle() {
		this.ended = this.ended || (this.closingIdle && inProgress() == 0);
	}

	/**
	 * Returns whether requests that arrive now must be rejected, since the process may be
	 * gone before they are answered.
	 * @return whether the intake has ended
	 */
	boolean isEnded() {
		return this.ended;
	}

	/**
	 * Closes idle connections immediately and the others after their responses.
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
