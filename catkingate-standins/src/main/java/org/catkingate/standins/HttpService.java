package org.catkingate.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * The HTTP server of a stand-in. Serves the routes of the stand-in and
 * {@code PUT /control/options}, whose body contains options as on the command line. Safe
 * for use by any thread.
 *
 * @since 0.1
 */
public final class HttpService implements AutoCloseable {

	/** Mapper that reads and writes JSON. */
	public static final ObjectMapper JSON = new ObjectMapper();

	/** Large enough for the weights that are sent to the engine stand-in. */
	private static final long MAX_BODY_BYTES = 64L << 30;

	private static final int WORKER_THREADS = 4;

	private final Undertow server;

	private HttpService(Undertow server) {
		this.server = server;
	}

	/**
	 * Starts the server.
	 * @param options the listen address and the options that {@code PUT /control/options}
	 * may change
	 * @param routes the routes
	 * @return the running server, never null
	 */
	public static HttpService start(StandInOptions options, RoutingHandler routes) {
		return start(options, options, routes);
	}

	/**
	 * Starts the server on a listen address that is not part of the changeable options.
	 * @param listen the listen address
	 * @param options the options that {@code PUT /control/options} may change
	 * @param routes the routes
	 * @return the running server, never null
	 */
	public static HttpService start(StandInOptions listen, StandInOptions options, RoutingHandler routes) {
		routes.put("/control/options", withBody((exchange, body) -> updateOptions(exchange, options, body)));
		InetSocketAddress address = listen.listenAddress();
		Undertow server = Undertow.builder()
			.addHttpListener(address.getPort(), address.getHostString())
			.setIoThreads(listen.ioThreads())
			.setWorkerThreads(WORKER_THREADS)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
			.setHandler(routes)
			.build();
		server.start();
		return new HttpService(server);
	}

	private static void updateOptions(HttpServerExchange exchange, StandInOptions options, byte[] body) {
		try {
			options.update(new String(body, StandardCharsets.UTF_8).strip().split("\\s+"));
			exchange.setStatusCode(StatusCodes.NO_CONTENT).endExchange();
		}
		catch (ParameterException ex) {
			exchange.setStatusCode(StatusCodes.BAD_REQUEST).getResponseSender().send(ex.getMessage());
		}
	}

	/**
	 * Creates a handler that receives the complete request body on the I/O thread.
	 * @param handler handles the request and its body
	 * @return the handler for the route, never null
	 */
	public static HttpHandler withBody(BodyHandler handler) {
		return (exchange) -> exchange.getRequestReceiver().receiveFullBytes((received, body) -> {
			try {
				handler.handle(received, body);
			}
			catch (JsonProcessingException ex) {
				received.setStatusCode(StatusCodes.BAD_REQUEST).getResponseSender().send(ex.getOriginalMessage());
			}
		});
	}

	/**
	 * Responds with JSON.
	 * @param exchange the exchange
	 * @param response the response body
	 */
	public static void sendJson(HttpServerExchange exchange, JsonNode response) {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(response.toString());
	}

	/**
	 * Closes the connection of an exchange without completing the response.
	 * @param exchange the exchange
	 */
	public static void closeConnection(HttpServerExchange exchange) {
		IoUtils.safeClose(exchange.getConnection());
	}

	/**
	 * Returns whether the client has closed its connection, also while the response is
	 * still pending. Must be called on the connection's I/O thread, after the complete
	 * request was read, and only for clients that send nothing before they have received
	 * the response.
	 * @param exchange the exchange
	 * @return whether the client has disconnected
	 */
	public static boolean isClientDisconnected(HttpServerExchange exchange) {
		if (!exchange.getConnection().isOpen()) {
			return true;
		}
		if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
			return false;
		}
		try {
			return connection.getOriginalSourceConduit().read(ByteBuffer.allocate(1)) < 0;
		}
		catch (IOException ex) {
			return true;
		}
	}

	/**
	 * Registers an action that is run when the client closes its connection while the
	 * response is pending. Must be called on the connection's I/O thread, after the
	 * complete request was read, and only for clients that send nothing before they have
	 * received the response.
	 * @param exchange the exchange
	 * @param action the action, run on the I/O thread
	 */
	public static void onClientDisconnect(HttpServerExchange exchange, Runnable action) {
		if (exchange.getConnection() instanceof HttpServerConnection connection) {
			ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
			source.setConduit(connection.getOriginalSourceConduit());
			source.setReadListener((channel) -> {
				channel.suspendReads();
				if (isClientDisconnected(exchange)) {
					action.run();
				}
			});
			source.resumeReads();
		}
	}

	/**
	 * Returns the value of a query parameter.
	 * @param exchange the exchange
	 * @param name the parameter's name
	 * @param defaultValue the value if the parameter is absent
	 * @return the value
	 */
	public static String queryParameter(HttpServerExchange exchange, String name, String defaultValue) {
		return exchange.getQueryParameters().containsKey(name) ? exchange.getQueryParameters().get(name).getFirst()
				: defaultValue;
	}

	/**
	 * Returns the value of a numeric query parameter.
	 * @param exchange the exchange
	 * @param name the parameter's name
	 * @param defaultValue the value if the parameter is absent
	 * @return the value
	 */
	public static long numericQueryParameter(HttpServerExchange exchange, String name, long defaultValue) {
		return Long.parseLong(queryParameter(exchange, name, Long.toString(defaultValue)));
	}

	/**
	 * Returns the address that the server listens on.
	 * @return the bound address, never null
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
	}

	@Override
	public void close() {
		this.server.stop();
	}

	/**
	 * A handler of a request and its complete body.
	 */
	@FunctionalInterface
	public interface BodyHandler {

		/**
		 * Handles a request.
		 * @param exchange the exchange
		 * @param body the request body
		 * @throws JsonProcessingException if the body is not the expected JSON; the
		 * response then has status 400
		 */
		void handle(HttpServerExchange exchange, byte[] body) throws JsonProcessingException;

	}

}
