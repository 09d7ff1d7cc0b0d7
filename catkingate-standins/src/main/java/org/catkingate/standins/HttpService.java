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
 * The HTTP server below a stand-in: its routes, and {@code PUT /control/options}, whose
 * body holds options as on the command line. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class HttpService implements AutoCloseable {

	/** Reads and writes JSON. */
	public static final ObjectMapper JSON = new ObjectMapper();

	private static final long MAX_BODY_BYTES = 64L << 30;

	private static final int WORKER_THREADS = 4;

	private final Undertow server;

	private HttpService(Undertow server) {
		this.server = server;
	}

	/**
	 * Starts to listen.
	 * @param options where, and the options that control may change
	 * @param routes the routes
	 * @return the running server, never null
	 */
	public static HttpService start(StandInOptions options, RoutingHandler routes) {
		return start(options, options, routes);
	}

	/**
	 * Starts to listen on an address of its own.
	 * @param listen where
	 * @param options the options that control may change
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
	 * Makes a handler that gets the whole body, on the I/O thread.
	 * @param handler the handler
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
	 * Answers with JSON.
	 * @param exchange the call
	 * @param answer the answer
	 */
	public static void sendJson(HttpServerExchange exchange, JsonNode answer) {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(answer.toString());
	}

	/**
	 * Ends a call without an answer by closing its connection.
	 * @param exchange the call
	 */
	public static void closeConnection(HttpServerExchange exchange) {
		IoUtils.safeClose(exchange.getConnection());
	}

	/**
	 * Tells whether the caller has closed its connection, also while an answer is being
	 * awaited. Must be called on the connection's I/O thread, after the whole request was
	 * read, and only for callers that send nothing before they have the answer.
	 * @param exchange the call
	 * @return whether nobody waits for the answer
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
	 * Tells when the caller closes its connection while an answer is awaited. Must be
	 * called on the connection's I/O thread, after the whole request was read, and only
	 * for callers that send nothing before they have the answer.
	 * @param exchange the call
	 * @param abandoned is run on the I/O thread
	 */
	public static void onClientDisconnect(HttpServerExchange exchange, Runnable abandoned) {
		if (exchange.getConnection() instanceof HttpServerConnection connection) {
			ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
			source.setConduit(connection.getOriginalSourceConduit());
			source.setReadListener((channel) -> {
				channel.suspendReads();
				if (isClientDisconnected(exchange)) {
					abandoned.run();
				}
			});
			source.resumeReads();
		}
	}

	/**
	 * Reads one query parameter.
	 * @param exchange the call
	 * @param name the parameter's name
	 * @param absent its value if it is absent
	 * @return its value
	 */
	public static String queryParameter(HttpServerExchange exchange, String name, String absent) {
		return exchange.getQueryParameters().containsKey(name) ? exchange.getQueryParameters().get(name).getFirst()
				: absent;
	}

	/**
	 * Reads one query parameter that is a number.
	 * @param exchange the call
	 * @param name the parameter's name
	 * @param absent its value if it is absent
	 * @return its value
	 */
	public static long numericQueryParameter(HttpServerExchange exchange, String name, long absent) {
		return Long.parseLong(queryParameter(exchange, name, Long.toString(absent)));
	}

	/**
	 * Returns where it listens.
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
	 * Handles a call and its whole body.
	 */
	@FunctionalInterface
	public interface BodyHandler {

		/**
		 * Handles a call.
		 * @param exchange the call
		 * @param body its body
		 * @throws JsonProcessingException if the body is not the JSON that it should be;
		 * answered with 400
		 */
		void handle(HttpServerExchange exchange, byte[] body) throws JsonProcessingException;

	}

}
