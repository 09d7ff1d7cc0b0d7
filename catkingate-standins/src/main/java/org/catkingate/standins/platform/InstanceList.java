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
 * The list of instances and what it was before, so that it can be shown late. Safe for
 * use by any thread.
 */
final class InstanceList {

	private static final int KEPT = 1000;

	private final Map<String, ObjectNode> instances = new TreeMap<>();

	private final List<Shown> history = new ArrayList<>();

	private long index;

	InstanceList() {
		remember(Long.MIN_VALUE);
	}

	synchronized void replace(ArrayNode list) {
		this.instances.clear();
		for (JsonNode instance : list) {
			this.instances.put(instance.get("id").asText(), (ObjectNode) instance);
		}
		remember(nowMillis());
	}

	synchronized void put(ObjectNode instance) {
		this.instances.put(instance.get("id").asText(), instance);
		remember(nowMillis());
	}

	synchronized void remove(String id) {
		this.instances.remove(id);
		remember(nowMillis());
	}

	synchronized Shown shown(long lagMillis) {
		long newest = nowMillis() - lagMillis;
		for (int i = this.history.size() - 1; i > 0; i--) {
			if (this.history.get(i).atMillis() <= newest) {
				return this.history.get(i);
			}
		}
		return this.history.get(0);
	}

	private void remember(long atMillis) {
		ObjectNode json = HttpService.JSON.createObjectNode().put("index", ++this.index);
		json.putArray("instances").addAll(this.instances.values());
		this.history.add(new Shown(this.index, atMillis, json.toString()));
		if (this.history.size() > KEPT) {
			this.history.remove(0);
		}
	}

	private static long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * The list as of one change. Immutable.
	 *
	 * @param index the index of the change
	 * @param atMillis when it was made
	 * @param json what is shown
	 */
	record Shown(long index, long atMillis, String json) {

	}

}
