package org.catkingate.standins.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;

import org.catkingate.standins.HttpService;
import org.catkingate.standins.StandIn;
import org.catkingate.standins.StandInOptions;

/**
 * A stand-in for the configuration service and the list of instances. Their content is
 * changed only through {@code /control} or the methods of this class. Safe for use by any
 * thread.
 *
 * @since 0.1
 */
public final class Platform implements StandIn {

	private static final HttpString INDEX_HEADER = new HttpString("X-Index");

	private static final String PART_SEPARATOR = "(?m)^%%\\s*\\R";

	private final PlatformOptions options;

	private final ConfigurationHistory configuration = new ConfigurationHistory();

	private final InstanceListHistory instances = new InstanceListHistory();

	private final CallStatistics calls = new CallStatistics();

	private final PendingWatches watches = new PendingWatches(this.calls);

	private final HttpService service;

	private Platform(PlatformOptions options) {
		this.options = options;
		this.service = HttpService.start(options, routes());
	}

	/**
	 * Starts a platform with no configuration and no instances.
	 * @param arguments options as on the command line
	 * @return the running platform, never null
	 */
	public static Platform start(String... arguments) {
		return new Platform(StandInOptions.parse(PlatformOptions::new, arguments));
	}

	private RoutingHandler routes() {
		return new RoutingHandler().get("/configuration/*", this::handleGetConfiguration)
			.get("/instances", this::handleGetInstances)
			.put("/control/configuration/*", HttpService.withBody(this::handlePutConfiguration))
			.put("/control/publish", HttpService.withBody(this::handlePublish))
			.put("/control/instances", HttpService.withBody(this::handlePutInstances))
			.put("/control/instances/{id}", HttpService.withBody(this::handlePutInstance))
			.delete("/control/instances/{id}", this::handleDeleteInstance)
			.get("/control/index", (exchange) -> exchange.getResponseSender().send(Long.toString(index())))
			.get("/control/calls", (exchange) -> HttpService.sendJson(exchange, callCounts()));
	}

	/**
	 * Sets the value of a configuration key.
	 * @param key the key
	 * @param value its value
	 * @return the index of the change
	 */
	public long put(String key, byte[] value) {
		return this.configuration.put(key, value);
	}

	/**
	 * Sets all keys of a publication, the head last.
	 * @param publication the publication
	 * @return the index of the last change
	 */
	public long publish(Publication publication) {
		publication.values().forEach((key, value) -> put(key, value.getBytes(StandardCharsets.UTF_8)));
		return index();
	}

	/**
	 * Returns the index of the latest change, for use with {@code --serve-index}.
	 * @return the index, 0 before the first change
	 */
	public long index() {
		return this.configuration.lastIndex();
	}

	/**
	 * Replaces the list of instances.
	 * @param list the instances, in the form that {@code GET /instances} returns
	 */
	public void replaceInstances(ArrayNode list) {
		this.instances.replace(list);
	}

	/**
	 * Adds an instance to the list or replaces the one with the same identifier.
	 * @param instance the instance
	 */
	public void putInstance(ObjectNode instance) {
		this.instances.put(instance);
	}

	/**
	 * Removes an instance from the list.
	 * @param id the instance's identifier
	 */
	public void removeInstance(String id) {
		this.instances.remove(id);
	}

	/**
	 * Returns counters of the calls so far.
	 * @return the calls to {@code configuration} and {@code instances}, the watches that
	 * are {@code waiting} now, the {@code bytes} of values sent, and the calls in the
	 * {@code busiestSecond}
	 */
	public ObjectNode callCounts() {
		return this.calls.toJson();
	}

	private void handleGetConfiguration(HttpServerExchange exchange) {
		this.calls.recordConfigurationCall();
		String key = exchange.getRelativePath().substring("/configuration/".length());
		long knownIndex = HttpService.numericQueryParameter(exchange, "after", -1);
		long waitMillis = HttpService.numericQueryParameter(exchange, "wait-ms", 0);
		if (knownIndex < 0 || waitMillis <= 0) {
			afterDelay(exchange, () -> sendConfiguration(exchange, key, knownIndex));
			return;
		}
		this.watches.add(exchange, waitMillis, () -> isDown() || indexOf(key) != knownIndex,
				() -> afterDelay(exchange, () -> sendConfiguration(exchange, key, knownIndex)));
	}

	private long indexOf(String key) {
		ConfigurationHistory.IndexedValue indexed = this.configuration.get(key, this.options.serveIndex);
		return (indexed != null) ? indexed.index() : -1;
	}

	private void sendConfiguration(HttpServerExchange exchange, String key, long knownIndex) {
		ConfigurationHistory.IndexedValue indexed = this.configuration.get(key, this.options.serveIndex);
		if (isDown()) {
			HttpService.closeConnection(exchange);
		}
		else if (indexed == null) {
			exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
		}
		else if (indexed.index() == knownIndex) {
			exchange.setStatusCode(StatusCodes.NOT_MODIFIED).endExchange();
		}
		else {
			exchange.getResponseHeaders().put(INDEX_HEADER, indexed.index());
			sendValue(exchange, indexed.value());
		}
	}

	private void sendValue(HttpServerExchange exchange, byte[] value) {
		this.calls.recordSentBytes(value.length);
		byte[] half = Arrays.copyOf(value, value.length / 2);
		if (this.options.cutValue) {
			exchange.setResponseContentLength(value.length);
			exchange.getResponseSender().send(ByteBuffer.wrap(half), new ConnectionClosingCallback());
		}
		else {
			exchange.getResponseSender().send(ByteBuffer.wrap(this.options.halfValue ? half : value));
		}
	}

	private void handleGetInstances(HttpServerExchange exchange) {
		this.calls.recordInstancesCall();
		long knownIndex = HttpService.numericQueryParameter(exchange, "after", -1);
		long waitMillis = HttpService.numericQueryParameter(exchange, "wait-ms", 0);
		if (knownIndex < 0 || waitMillis <= 0) {
			afterDelay(exchange, () -> sendInstances(exchange, knownIndex));
			return;
		}
		this.watches.add(exchange, waitMillis, () -> isInstancesDown() || instanceSnapshot().index() != knownIndex,
				() -> afterDelay(exchange, () -> sendInstances(exchange, knownIndex)));
	}

	private InstanceListHistory.Snapshot instanceSnapshot() {
		return this.instances.snapshot(this.options.instancesLagMillis);
	}

	private void sendInstances(HttpServerExchange exchange, long knownIndex) {
		InstanceListHistory.Snapshot snapshot = instanceSnapshot();
		if (isInstancesDown()) {
			HttpService.closeConnection(exchange);
		}
		else if (snapshot.index() == knownIndex) {
			exchange.setStatusCode(StatusCodes.NOT_MODIFIED).endExchange();
		}
		else {
			exchange.getResponseHeaders().put(INDEX_HEADER, snapshot.index());
			this.calls.recordSentBytes(snapshot.json().length());
			exchange.getResponseSender().send(snapshot.json());
		}
	}

	private boolean isDown() {
		return this.options.isDown(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
	}

	private boolean isInstancesDown() {
		return isDown() || this.options.instancesDown;
	}

	private void afterDelay(HttpServerExchange exchange, Runnable respond) {
		if (this.options.delayMillis <= 0) {
			respond.run();
			return;
		}
		exchange.dispatch(SameThreadExecutor.INSTANCE,
				() -> exchange.getIoThread().executeAfter(respond, this.options.delayMillis, TimeUnit.MILLISECONDS));
	}

	private void handlePutConfiguration(HttpServerExchange exchange, byte[] body) {
		String key = exchange.getRelativePath().substring("/control/configuration/".length());
		exchange.getResponseSender().send(Long.toString(put(key, body)));
	}

	private void handlePublish(HttpServerExchange exchange, byte[] body) {
		List<String> parts = List.of(new String(body, StandardCharsets.UTF_8).split(PART_SEPARATOR));
		long revision = HttpService.numericQueryParameter(exchange, "revision", 1);
		exchange.getResponseSender().send(Long.toString(publish(Publication.of(revision, parts))));
	}

	private void handlePutInstances(HttpServerExchange exchange, byte[] body) throws JsonProcessingException {
		JsonNode json = HttpService.JSON.readTree(new String(body, StandardCharsets.UTF_8));
		replaceInstances((ArrayNode) (json.isArray() ? json : json.withArray("instances")));
		exchange.setStatusCode(StatusCodes.NO_CONTENT).endExchange();
	}

	private void handlePutInstance(HttpServerExchange exchange, byte[] body) throws JsonProcessingException {
		ObjectNode instance = (ObjectNode) HttpService.JSON.readTree(new String(body, StandardCharsets.UTF_8));
		putInstance(instance.put("id", HttpService.queryParameter(exchange, "id", "")));
		exchange.setStatusCode(StatusCodes.NO_CONTENT).endExchange();
	}

	private void handleDeleteInstance(HttpServerExchange exchange) {
		removeInstance(HttpService.queryParameter(exchange, "id", ""));
		exchange.setStatusCode(StatusCodes.NO_CONTENT).endExchange();
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
