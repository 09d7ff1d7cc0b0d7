package org.catkingate.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All past and present values of each key, with indexes that increase across all keys.
 * Safe for use by any thread.
 */
final class ConfigurationHistory {

	private final Map<String, List<IndexedValue>> history = new HashMap<>();

	private long lastIndex;

	synchronized long put(String key, byte[] value) {
		this.lastIndex++;
		this.history.computeIfAbsent(key, (absent) -> new ArrayList<>()).add(new IndexedValue(this.lastIndex, value));
		return this.lastIndex;
	}

	synchronized long lastIndex() {
		return this.lastIndex;
	}

	synchronized IndexedValue get(String key, long maxIndex) {
		IndexedValue newest = null;
		for (IndexedValue candidate : this.history.getOrDefault(key, List.of())) {
			if (maxIndex < 0 || candidate.index() <= maxIndex) {
				newest = candidate;
			}
		}
		return newest;
	}

	/**
	 * One value of a key. The array must not be modified.
	 *
	 * @param index the index of the change that set the value
	 * @param value the value
	 */
	record IndexedValue(long index, byte[] value) {

	}

}
