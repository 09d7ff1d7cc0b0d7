package org.catkingate.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkingate.standins.HttpService;
import org.catkingate.standins.raw.RawServer;

/**
 * A stand-in of the platform's key-value store, from which gateways and loaders read the
 * registry. Reads and watches are served; writes are made by method calls. Safe for use
 * by any thread.
 */
final class RegistryStandIn implements AutoCloseable {

	private static final int PAGE_SIZE = 5;

	private static final long SLOW_RESPONSE_MILLIS = 700;

	private final TreeMap<String, Item> items = new TreeMap<>();

	private final List<Item> history = new ArrayList<>();

	private final RawServer server;

	private long revision = 100;

	private long compactedRevision = 100;

	private long era = 1;

	private Availability availability = Availability.UP;

	RegistryStandIn() throws IOException {
		this.server = RawServer.respondingTo(this::respond);
	}

	InetSocketAddress address() {
		return this.server.address();
	}

	/**
	 * Writes an item.
	 * @return the revision of the change
	 */
	synchronized long put(String key, JsonNode value) {
		return change(key, value.toString().getBytes(StandardCharsets.UTF_8));
	}

	synchronized void delete(String key) {
		if (this.items.containsKey(key)) {
			change(key, null);
		}
	}

	private long change(String key, byte[] value) {
		this.revision++;
		Item item = new Item(key, value, this.revision);
		this.history.add(item);
		if (value != null) {
			this.items.put(key, item);
		}
		else {
			this.items.remove(key);
		}
		notifyAll();
		return this.revision;
	}

	synchronized void changeAvailability(Availability next) {
		this.availability = next;
		notifyAll();
	}

	/**
	 * Forgets all changes so far, but keeps the items.
	 */
	synchronized void forgetHistory() {
		this.history.clear();
		this.compactedRevision = this.revision;
		notifyAll();
	}

	synchronized Copy copy() {
		return new Copy(new TreeMap<>(this.items), this.revision);
	}

	/**
	 * Returns to an older copy: later changes are lost, and their revisions are given out
	 * again. The operator writes the configuration again at once.
	 */
	synchronized void restore(Copy copy, Map<String, JsonNode> writtenAgain) {
		this.items.clear();
		this.items.putAll(copy.items());
		this.revision = copy.revision();
		this.history.clear();
		this.compactedRevision = this.revision;
		this.era++;
		writtenAgain.forEach(this::put);
		notifyAll();
	}

	private RawServer.Response respond(RawServer.Request request) {
		URI target = URI.create(request.head().split(" ")[1]);
		Map<String, String> query = parseQuery(target.getRawQuery());
		try {
			if (availability() == Availability.SLOW) {
				Thread.sleep(SLOW_RESPONSE_MILLIS);
			}
			return switch (target.getPath()) {
				case "/kv-range" -> range(query);
				case "/kv-watch" -> watch(query);
				case "/kv-key" -> item(query);
				default -> createResponse(404, null);
			};
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new RawServer.Response(List.of(), RawServer.Ending.RESET, 0);
		}
	}

	private static Map<String, String> parseQuery(String query) {
		Map<String, String> values = new HashMap<>();
		for (String part : ((query != null) ? query : "").split("&")) {
			String[] pair = part.split("=", 2);
			if (pair.length == 2) {
				values.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
			}
		}
		return values;
	}

	private synchronized Availability availability() {
		return this.availability;
	}

	private synchronized RawServer.Response range(Map<String, String> query) {
		String prefix = query.getOrDefault("PathPrefix", "");
		ObjectNode body = HttpService.JSON.createObjectNode().put("CurrentRev", this.revision);
		ArrayNode entries = body.putArray("Entries");
		boolean truncated = false;
		for (Item item : this.items.tailMap(query.getOrDefault("After", ""), false).values()) {
			if (item.key().startsWith(prefix)) {
				truncated = entries.size() == PAGE_SIZE;
				if (truncated) {
					break;
				}
				entries.add(item.toJson());
			}
		}
		return createResponse(200, body.put("Truncated", truncated));
	}

	private synchronized RawServer.Response watch(Map<String, String> query) throws InterruptedException {
		String prefix = query.getOrDefault("PathPrefix", "");
		long after = Long.parseLong(query.get("After"));
		long startEra = this.era;
		long deadline = System.nanoTime() + Long.parseLong(query.get("WaitMs")) * 1_000_000;
		while (true) {
			if (after < this.compactedRevision || after > this.revision || this.era != startEra) {
				return createResponse(410, null);
			}
			ArrayNode events = HttpService.JSON.createArrayNode();
			this.history.stream()
				.filter((item) -> item.revision() > after && item.key().startsWith(prefix))
				.forEach((item) -> events.add(item.toJson()));
			long leftMillis = (deadline - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || leftMillis <= 0 || !this.availability.serves()) {
				ObjectNode body = HttpService.JSON.createObjectNode().put("CurrentRev", this.revision);
				body.set("events", events);
				return createResponse(200, body);
			}
			wait(leftMillis);
		}
	}

	private synchronized RawServer.Response item(Map<String, String> query) {
		Item item = this.items.get(query.getOrDefault("Key", ""));
		return (item != null) ? createResponse(200, item.toJson().put("CurrentRev", this.revision))
				: createResponse(404, null);
	}

	private synchronized RawServer.Response createResponse(int status, JsonNode body) {
		if (this.availability == Availability.LOSING_RESPONSES) {
			return new RawServer.Response(List.of(), RawServer.Ending.RESET, 0);
		}
		int sentStatus = this.availability.serves() ? status : 503;
		String text = (body != null && sentStatus == 200) ? body.toString() : "{}";
		String head = "HTTP/1.1 " + sentStatus + " Status\r\nStore-Era: " + this.era
				+ "\r\nContent-Type: application/json\r\nContent-Length: "
				+ text.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n";
		return new RawServer.Response(List.of(head + text), RawServer.Ending.KEEP_OPEN, 0);
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * How the store responds.
	 */
	enum Availability {

		/** At once. */
		UP,

		/** Late. */
		SLOW,

		/** Not at all: all calls are refused. */
		DOWN,

		/** Connections are reset instead of a response. */
		LOSING_RESPONSES;

		boolean serves() {
			return this != DOWN;
		}

	}

	/**
	 * An older state of the store.
	 *
	 * @param items the items by key
	 * @param revision the revision
	 */
	record Copy(TreeMap<String, Item> items, long revision) {

	}

	/**
	 * An item or its deletion.
	 *
	 * @param key its key
	 * @param value its value, null if it was deleted
	 * @param revision the revision of the change
	 */
	record Item(String key, byte[] value, long revision) {

		ObjectNode toJson() {
			ObjectNode json = HttpService.JSON.createObjectNode().put("Key", this.key).put("Revision", this.revision);
			return (this.value == null) ? json.put("Deleted", true)
					: json.put("Value", Base64.getEncoder().encodeToString(this.value))
						.put("Created", this.revision)
						.put("Lease", 0);
		}

	}

}
