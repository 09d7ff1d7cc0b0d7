package org.catkingate.standins.platform;

import java.io.IOException;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;

import org.catkingate.standins.HttpService;

/**
 * A callback that closes the connection after the response data has been sent or has
 * failed. Stateless.
 */
final class ConnectionClosingCallback implements IoCallback {

	@Override
	public void onComplete(HttpServerExchange exchange, Sender sender) {
		HttpService.closeConnection(exchange);
	}

	@Override
	public void onException(HttpServerExchange exchange, Sender sender, IOException exception) {
		HttpService.closeConnection(exchange);
	}

}
