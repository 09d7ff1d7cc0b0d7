package org.catkingate.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkingate.standins.HttpService;

/**
 * The list of instances and its previous states, so that it can be served with a delay.
 * Safe for use by any thread.
 */
final class InstanceListHistory {

	private static final int MAX_SNAPSHOTS = 1000;

	private final Map<String, ObjectNode> instances = new TreeMap<>();

	private final List<Snapshot> history = new ArrayList<>();

	private long lastIndex;

	InstanceListHistory() {
		addSnapshot(Long.MIN_VALUE);
	}

	synchronized void replace(ArrayNode list) {
		this.instances.clear();
		for (JsonNode instance : list) {
			this.instances.put(instance.get("id").asText(), (ObjectNode) instance);
		}
		addSnapshot(nowMillis());
	}

	synchronized void put(ObjectNode instance) {
		this.instances.put(instance.get("id").asText(), instance);
		addSnapshot(nowMillis());
	}

	synchronized void remove(String id) {
		this.instances.remove(id);
		addSnapshot(nowMillis());
	}

	synchronized Snapshot snapshot(long lagMillis) {
		long latestCreatedMillis = nowMillis() - lagMillis;
		for (int i = this.history.size() - 1; i > 0; i--) {
			if (this.history.get(i).createdMillis() <= latestCreatedMillis) {
				return this.history.get(i);
			}
		}
		return this.history.get(0);
	}

	private void addSnapshot(long createdMillis) {
		ObjectNode json = HttpService.JSON.createObjectNode().put("index", ++this.lastIndex);
		json.putArray("instances").addAll(this.instances.values());
		this.history.add(new Snapshot(this.lastIndex, createdMillis, json.toString()));
		if (this.history.size() > MAX_SNAPSHOTS) {
			this.history.remove(0);
		}
	}

	private static long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * The state of the list after one change. Immutable.
	 *
	 * @param index the index of the change
	 * @param createdMillis when the change was made, in milliseconds of the monotonic
	 * clock
	 * @param json the JSON that is served
	 */
	record Snapshot(long index, long createdMillis, String json) {

	}

}
