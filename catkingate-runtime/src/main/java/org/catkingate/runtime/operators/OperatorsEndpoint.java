package org.catkingate.runtime.operators;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;

/**
 * The HTTP endpoint for operators and their tools: {@code /healthz}, {@code /readyz},
 * {@code /metrics} and {@code /state}. Only GET and HEAD are supported. Safe for use by
 * any thread.
 *
 * @since 0.1
 */
public final class OperatorsEndpoint implements AutoCloseable {

	private static final String JSON = "application/json";

	private static final String TEXT = "text/plain; charset=utf-8";

	private final Undertow server;

	private final Readiness readiness;

	private final PrometheusRegistry metrics;

	private final Supplier<?> state;

	private OperatorsEndpoint(List<InetSocketAddress> addresses, Readiness readiness, PrometheusRegistry metrics,
			Supplier<?> state) {
		this.readiness = readiness;
		this.metrics = metrics;
		this.state = state;
		Undertow.Builder builder = Undertow.builder()
			.setIoThreads(1)
			.setWorkerThreads(1)
			.setHandler(new BlockingHandler(this::handle));
		addresses.forEach((address) -> builder.addHttpListener(address.getPort(), address.getHostString()));
		this.server = builder.build();
	}

	/**
	 * Starts the endpoint.
	 * @param addresses the addresses to listen on, at least one; port 0 for any free one
	 * @param readiness the readiness that {@code /readyz} reports
	 * @param metrics the metrics that {@code /metrics} reports
	 * @param state supplies the state that {@code /state} prints as JSON: records,
	 * collections and plain values
	 * @return the running endpoint, never null
	 */
	public static OperatorsEndpoint start(List<InetSocketAddress> addresses, Readiness readiness,
			PrometheusRegistry metrics, Supplier<?> state) {
		Objects.requireNonNull(addresses, "addresses must not be null");
		OperatorsEndpoint endpoint = new OperatorsEndpoint(addresses, readiness, metrics, state);
		endpoint.server.start();
		return endpoint;
	}

	/**
	 * Returns the first address that the endpoint listens on.
	 * @return the address, never null
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
	}

	private void handle(HttpServerExchange exchange) throws IOException {
		HttpHandler handler = handlerFor(exchange.getRequestPath());
		try {
			handler.handleRequest(exchange);
		}
		catch (IOException ex) {
			throw ex;
		}
		catch (Exception ex) {
			throw new IOException(ex);
		}
	}

	private HttpHandler handlerFor(String path) {
		return switch (path) {
			case "/healthz" -> (exchange) -> respond(exchange, StatusCodes.OK, TEXT, "ok\n");
			case "/readyz" -> this::respondWithReadiness;
			case "/metrics" -> this::respondWithMetrics;
			case "/state" -> this::respondWithState;
			default -> (exchange) -> respond(exchange, StatusCodes.NOT_FOUND, TEXT,
					"ask for /healthz, /readyz, /metrics or /state\n");
		};
	}

	private void respondWithReadiness(HttpServerExchange exchange) {
		Readiness.Phase phase = this.readiness.phase();
		int status = (phase == Readiness.Phase.READY) ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE;
		respond(exchange, status, TEXT, phase.name().toLowerCase(Locale.ROOT) + "\n");
	}

	private void respondWithMetrics(HttpServerExchange exchange) throws IOException {
		PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		writer.write(output, this.metrics.scrape());
		respond(exchange, StatusCodes.OK, writer.getContentType(), output.toString(StandardCharsets.UTF_8));
	}

	private void respondWithState(HttpServerExchange exchange) throws IOException {
		respond(exchange, StatusCodes.OK, JSON, StateMapper.INSTANCE.writeValueAsString(this.state.get()) + "\n");
	}

	private static void respond(HttpServerExchange exchange, int status, String type, String body) {
		exchange.setStatusCode(status);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
		exchange.getResponseSender().send(ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
	}

	/**
	 * Stops listening.
	 */
	@Override
	public void close() {
		this.server.stop();
	}

	/**
	 * Holds the mapper of states, which is created when a state is first requested, since
	 * its creation would delay the start of the process.
	 */
	private static final class StateMapper {

		private static final ObjectMapper INSTANCE = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT)
			.enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
			.disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);

	}

}
