package org.catkingate.standins.plain;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkingate.standins.HttpService;

/**
 * Counters of the runs of purchases, by idempotency key and by request identifier, and of
 * lookups, by path. Tests check at-most-once execution against the counts of purchases.
 * Safe for use by any thread.
 */
final class RunCounts {

	private final Map<String, Integer> byKey = new TreeMap<>();

	private final Map<String, Integer> byRequest = new TreeMap<>();

	private long purchases;

	private final Map<String, Integer> byPath = new TreeMap<>();

	synchronized long recordPurchase(String key, String requestId) {
		increment(this.byKey, key);
		increment(this.byRequest, requestId);
		this.purchases++;
		return this.purchases;
	}

	synchronized void recordLookup(String path) {
		increment(this.byPath, path);
	}

	private static void increment(Map<String, Integer> counts, String name) {
		if (name != null) {
			counts.merge(name, 1, Integer::sum);
		}
	}

	synchronized int runCount(String key) {
		return this.byKey.getOrDefault(key, 0);
	}

	synchronized Map<String, Integer> runCountsByKey() {
		return new TreeMap<>(this.byKey);
	}

	synchronized Map<String, Integer> lookupCountsByPath() {
		return new TreeMap<>(this.byPath);
	}

	synchronized ObjectNode toJson() {
		ObjectNode json = HttpService.JSON.createObjectNode().put("purchases", this.purchases);
		json.set("byKey", HttpService.JSON.valueToTree(this.byKey));
		json.set("byRequest", HttpService.JSON.valueToTree(this.byRequest));
		json.set("lookups", HttpService.JSON.valueToTree(this.byPath));
		return json;
	}

}
