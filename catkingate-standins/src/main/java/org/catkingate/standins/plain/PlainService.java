package org.catkingate.standins.plain;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;

import org.catkingate.standins.HttpService;
import org.catkingate.standins.StandIn;
import org.catkingate.standins.StandInOptions;

/**
 * A stand-in for a plain service. It provides {@code POST /purchases}, which runs on
 * every call and therefore is not idempotent, and lookups under {@code /lookups}. Each
 * response echoes the identifier, path and body of its request, so that a response to
 * another request can be detected. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class PlainService implements StandIn {

	private final PlainOptions options;

	private final RunCounts runs = new RunCounts();

	private final HttpService service;

	private PlainService(PlainOptions options) {
		this.options = options;
		this.service = HttpService.start(options, routes());
	}

	/**
	 * Starts a service.
	 * @param arguments options as on the command line
	 * @return the running service, never null
	 */
	public static PlainService start(String... arguments) {
		return new PlainService(StandInOptions.parse(PlainOptions::new, arguments));
	}

	private RoutingHandler routes() {
		return new RoutingHandler().post("/purchases", HttpService.withBody(this::handlePurchase))
			.get("/lookups/*", HttpService.withBody(this::handleLookup))
			.post("/lookups/*", HttpService.withBody(this::handleLookup))
			.get("/control/runs", (exchange) -> HttpService.sendJson(exchange, this.runs.toJson()));
	}

	/**
	 * Returns the number of runs of a purchase.
	 * @param key the value of its {@code Idempotency-Key} header
	 * @return the number of runs that have started
	 */
	public int runCount(String key) {
		return this.runs.runCount(key);
	}

	/**
	 * Returns the number of runs of each purchase.
	 * @return the number of runs that have started by {@code Idempotency-Key}, never null
	 */
	public Map<String, Integer> runCountsByKey() {
		return this.runs.runCountsByKey();
	}

	/**
	 * Returns the number of runs of each lookup.
	 * @return the number of lookups by path, never null
	 */
	public Map<String, Integer> lookupCountsByPath() {
		return this.runs.lookupCountsByPath();
	}

	private void handlePurchase(HttpServerExchange exchange, byte[] body) {
		if (this.options.down) {
			HttpService.closeConnection(exchange);
			return;
		}
		String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
		long number = this.runs.recordPurchase(key, exchange.getRequestHeaders().getFirst("X-Request-Id"));
		ObjectNode response = echo(exchange, body).put("purchase", number).put("key", key);
		afterDelay(exchange, () -> respond(exchange, StatusCodes.CREATED, response));
	}

	private void handleLookup(HttpServerExchange exchange, byte[] body) {
		if (this.options.down) {
			HttpService.closeConnection(exchange);
			return;
		}
		this.runs.recordLookup(exchange.getRequestPath());
		ObjectNode response = echo(exchange, body);
		afterDelay(exchange, () -> respond(exchange, StatusCodes.OK, response));
	}

	private ObjectNode echo(HttpServerExchange exchange, byte[] body) {
		ObjectNode response = HttpService.JSON.createObjectNode()
			.put("request", exchange.getRequestHeaders().getFirst("X-Request-Id"))
			.put("path", exchange.getRequestPath())
			.put("body", new String(body, StandardCharsets.UTF_8));
		int padding = this.options.minResponseBytes - response.toString().length();
		return (padding > 0) ? response.put("padding", "x".repeat(padding)) : response;
	}

	private void afterDelay(HttpServerExchange exchange, Runnable respond) {
		exchange.dispatch(SameThreadExecutor.INSTANCE,
				() -> exchange.getIoThread().executeAfter(respond, this.options.delayMillis, TimeUnit.MILLISECONDS));
	}

	private void respond(HttpServerExchange exchange, int status, ObjectNode response) {
		if (this.options.dieAfterRun) {
			HttpService.closeConnection(exchange);
			return;
		}
		exchange.setStatusCode(status);
		HttpService.sendJson(exchange, response);
	}

	@Override
	public InetSocketAddress address() {
		return this.service.address();
	}

	@Override
	public void configure(String... arguments) {
		this.options.update(arguments);
	}

	@Override
	public void close() {
		this.service.close();
	}

}
