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
import org.catkingate.standins.ListenOptions;
import org.catkingate.standins.StandIn;

/**
 * The configuration service and the list of instances. Written only over {@code /control}
 * or the methods here. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class Platform implements StandIn {

	private static final HttpString INDEX = new HttpString("X-Index");

	private static final String PART_SEPARATOR = "(?m)^%%\\s*\\R";

	private final PlatformOptions options;

	private final Entries configuration = new Entries();

	private final InstanceList instances = new InstanceList();

	private final Calls calls = new Calls();

	private final Watches watches = new Watches(this.calls);

	private final HttpService service;

	private Platform(PlatformOptions options) {
		this.options = options;
		this.service = HttpService.start(options, routes());
	}

	/**
	 * Starts a platform without configuration and instances.
	 * @param arguments options as on the command line
	 * @return the running platform, never null
	 */
	public static Platform start(String... arguments) {
		return new Platform(ListenOptions.parse(PlatformOptions::new, arguments));
	}

	private RoutingHandler routes() {
		return new RoutingHandler().get("/configuration/*", this::getConfiguration)
			.get("/instances", this::getInstances)
			.put("/control/configuration/*", HttpService.withBody(this::putConfiguration))
			.put("/control/publish", HttpService.withBody(this::putPublication))
			.put("/control/instances", HttpService.withBody(this::putInstances))
			.put("/control/instances/{id}", HttpService.withBody(this::putInstance))
			.delete("/control/instances/{id}", this::deleteInstance)
			.get("/control/index", (exchange) -> exchange.getResponseSender().send(Long.toString(index())))
			.get("/control/calls", (exchange) -> HttpService.sendJson(exchange, calls()));
	}

	/**
	 * Writes one key of the configuration.
	 * @param key the key
	 * @param value its value
	 * @return the index of the change
	 */
	public long put(String key, byte[] value) {
		return this.configuration.put(key, value);
	}

	/**
	 * Writes all keys of a publication, the head last.
	 * @param publication the publication
	 * @return the index of the last change
	 */
	public long publish(Publication publication) {
		publication.values().forEach((key, value) -> put(key, value.getBytes(StandardCharsets.UTF_8)));
		return index();
	}

	/**
	 * Returns the index of the newest change, for {@code --serve-index}.
	 * @return the index, 0 before the first change
	 */
	public long index() {
		return this.configuration.index();
	}

	/**
	 * Replaces the list of instances.
	 * @param list the instances, in the form that {@code GET /instances} shows
	 */
	public void instances(ArrayNode list) {
		this.instances.replace(list);
	}

	/**
	 * Adds or replaces one instance of the list.
	 * @param instance the instance
	 */
	public void instance(ObjectNode instance) {
		this.instances.put(instance);
	}

	/**
	 * Takes one instance off the list.
	 * @param id the instance's name
	 */
	public void removeInstance(String id) {
		this.instances.remove(id);
	}

	/**
	 * Counts the calls so far.
	 * @return {@code configuration}, {@code instances}, {@code waiting} now,
	 * {@code bytes} and the calls in the {@code busiestSecond}
	 */
	public ObjectNode calls() {
		return this.calls.toJson();
	}

	private void getConfiguration(HttpServerExchange exchange) {
		this.calls.configuration();
		String key = exchange.getRelativePath().substring("/configuration/".length());
		long after = HttpService.queryNumber(exchange, "after", -1);
		long wait = HttpService.queryNumber(exchange, "wait-ms", 0);
		if (after < 0 || wait <= 0) {
			afterDelay(exchange, () -> answerConfiguration(exchange, key, after));
			return;
		}
		this.watches.await(exchange, wait, () -> isDown() || indexOf(key) != after,
				() -> afterDelay(exchange, () -> answerConfiguration(exchange, key, after)));
	}

	private long indexOf(String key) {
		Entries.Entry entry = this.configuration.get(key, this.options.serveIndex);
		return (entry != null) ? entry.index() : -1;
	}

	private void answerConfiguration(HttpServerExchange exchange, String key, long after) {
		Entries.Entry entry = this.configuration.get(key, this.options.serveIndex);
		if (isDown()) {
			HttpService.cut(exchange);
		}
		else if (entry == null) {
			exchange.setStatusCode(StatusCodes.NOT_FOUND).endExchange();
		}
		else if (entry.index() == after) {
			exchange.setStatusCode(StatusCodes.NOT_MODIFIED).endExchange();
		}
		else {
			exchange.getResponseHeaders().put(INDEX, entry.index());
			sendValue(exchange, entry.value());
		}
	}

	private void sendValue(HttpServerExchange exchange, byte[] value) {
		this.calls.sent(value.length);
		byte[] half = Arrays.copyOf(value, value.length / 2);
		if (this.options.cutValue) {
			exchange.setResponseContentLength(value.length);
			exchange.getResponseSender().send(ByteBuffer.wrap(half), new CutAfter());
		}
		else {
			exchange.getResponseSender().send(ByteBuffer.wrap(this.options.halfValue ? half : value));
		}
	}

	private void getInstances(HttpServerExchange exchange) {
		this.calls.instances();
		long after = HttpService.queryNumber(exchange, "after", -1);
		long wait = HttpService.queryNumber(exchange, "wait-ms", 0);
		if (after < 0 || wait <= 0) {
			afterDelay(exchange, () -> answerInstances(exchange, after));
			return;
		}
		this.watches.await(exchange, wait, () -> isInstancesDown() || shownInstances().index() != after,
				() -> afterDelay(exchange, () -> answerInstances(exchange, after)));
	}

	private InstanceList.Shown shownInstances() {
		return this.instances.shown(this.options.instancesLagMillis);
	}

	private void answerInstances(HttpServerExchange exchange, long after) {
		InstanceList.Shown shown = shownInstances();
		if (isInstancesDown()) {
			HttpService.cut(exchange);
		}
		else if (shown.index() == after) {
			exchange.setStatusCode(StatusCodes.NOT_MODIFIED).endExchange();
		}
		else {
			exchange.getResponseHeaders().put(INDEX, shown.index());
			this.calls.sent(shown.json().length());
			exchange.getResponseSender().send(shown.json());
		}
	}

	private boolean isDown() {
		return this.options.isDown(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
	}

	private boolean isInstancesDown() {
		return isDown() || this.options.instancesDown;
	}

	private void afterDelay(HttpServerExchange exchange, Runnable answer) {
		if (this.options.delayMillis <= 0) {
			answer.run();
			return;
		}
		exchange.dispatch(SameThreadExecutor.INSTANCE,
				() -> exchange.getIoThread().executeAfter(answer, this.options.delayMillis, TimeUnit.MILLISECONDS));
	}

	private void putConfiguration(HttpServerExchange exchange, byte[] body) {
		String key = exchange.getRelativePath().substring("/control/configuration/".length());
		exchange.getResponseSender().send(Long.toString(put(key, body)));
	}

	private void putPublication(HttpServerExchange exchange, byte[] body) {
		List<String> parts = List.of(new String(body, StandardCharsets.UTF_8).split(PART_SEPARATOR));
		long revision = HttpService.queryNumber(exchange, "revision", 1);
		exchange.getResponseSender().send(Long.toString(publish(Publication.of(revision, parts))));
	}

	private void putInstances(HttpServerExchange exchange, byte[] body) throws JsonProcessingException {
		JsonNode json = HttpService.JSON.readTree(new String(body, StandardCharsets.UTF_8));
		instances((ArrayNode) (json.isArray() ? json : json.withArray("instances")));
		exchange.setStatusCode(StatusCodes.NO_CONTENT).endExchange();
	}

	private void putInstance(HttpServerExchange exchange, byte[] body) throws JsonProcessingException {
		ObjectNode instance = (ObjectNode) HttpService.JSON.readTree(new String(body, StandardCharsets.UTF_8));
		instance(instance.put("id", HttpService.query(exchange, "id", "")));
		exchange.setStatusCode(StatusCodes.NO_CONTENT).endExchange();
	}

	private void deleteInstance(HttpServerExchange exchange) {
		removeInstance(HttpService.query(exchange, "id", ""));
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
