package org.catkingate.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import org.xnio.IoUtils;

import org.catkingate.runtime.http.CallerServer;

/**
 * The connections of callers, and which of them have a request in progress: from the
 * arrival of its head until the response is handed over to the operating system. While
 * the process is draining, the next response on each connection announces that it is
 * closed, unless another request has arrived behind it; idle connections are closed once
 * the process no longer accepts any, and requests that have no response by the end of the
 * time for draining are ended. Used by the traffic thread only.
 */
final class CallerConnections {

	private final Map<ServerConnection, Boolean> busyByConnection = new HashMap<>();

	private final Map<ServerConnection, ShutdownListener> listenerByConnection = new HashMap<>();

	private final Consumer<ServerConnection> requestEndListener;

	private final ShutdownState shutdownState;

	private boolean closingIdle;

	private boolean ended;

	/**
	 * Creates a record without connections.
	 * @param shutdownState the shutdown of the process
	 * @param requestEndListener receives each connection on which a request has ended
	 */
	CallerConnections(ShutdownState shutdownState, Consumer<ServerConnection> requestEndListener) {
		this.shutdownState = shutdownState;
		this.requestEndListener = requestEndListener;
	}

	/**
	 * Records that a request has arrived, and tracks its connection until it closes.
	 * @param exchange the exchange of the request
	 */
	void track(HttpServerExchange exchange) {
		ServerConnection connection = exchange.getConnection();
		if (this.busyByConnection.put(connection, true) == null) {
			connection.addCloseListener((closed) -> {
				this.busyByConnection.remove(closed);
				this.listenerByConnection.remove(closed);
			});
		}
		exchange.addResponseCommitListener(this::announceClose);
		exchange.addExchangeCompleteListener((completed, next) -> {
			endRequest(completed);
			next.proceed();
		});
	}

	/*
	 * Decided when the head of the response is sent, so that it also applies to requests
	 * that arrived before the process was draining.
	 */
	private void announceClose(HttpServerExchange exchange) {
		if (this.shutdownState.schedule().isPresent() && !CallerServer.hasNextRequest(exchange.getConnection())) {
			CallerServer.announceClose(exchange);
		}
	}

	/*
	 * A connection that is not persistent is closed by the server, which first lets the
	 * caller read the response.
	 */
	private void endRequest(HttpServerExchange exchange) {
		ServerConnection connection = exchange.getConnection();
		this.listenerByConnection.remove(connection);
		this.requestEndListener.accept(connection);
		boolean continues = exchange.isPersistent() && CallerServer.hasNextRequest(connection);
		this.busyByConnection.replace(connection, continues);
		if (this.closingIdle && exchange.isPersistent() && !continues) {
			IoUtils.safeClose(connection);
		}
	}

	/**
	 * Sets what is notified of the progress of a shutdown until the request has ended.
	 * @param exchange the exchange of the request
	 * @param listener the listener, which replaces an earlier one
	 */
	void setShutdownListener(HttpServerExchange exchange, ShutdownListener listener) {
		this.listenerByConnection.put(exchange.getConnection(), listener);
	}

	/**
	 * Ends the requests in progress and the intake.
	 */
	void endRequests() {
		this.ended = true;
		List.copyOf(this.listenerByConnection.values()).forEach(ShutdownListener::onRequestsEnd);
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
	 * Ends the notice period: idle connections are closed immediately, the others after
	 * their responses.
	 */
	void endNotice() {
		this.closingIdle = true;
		List.copyOf(this.listenerByConnection.values()).forEach(ShutdownListener::onNoticeEnd);
		Map.copyOf(this.busyByConnection).forEach((connection, isBusy) -> {
			if (!isBusy) {
				IoUtils.safeClose(connection);
			}
		});
	}

	/**
	 * A request in progress while the process shuts down.
	 */
	interface ShutdownListener {

		/**
		 * Called when the notice period ends: a request that has not been sent to a
		 * runner and can no longer be is rejected.
		 */
		void onNoticeEnd();

		/**
		 * Called when requests in progress are ended: the caller is sent a failure, or
		 * the response is broken off.
		 */
		void onRequestsEnd();

	}

}
