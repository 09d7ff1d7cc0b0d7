package org.catkingate.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Every value that each key has had, under indexes that rise over all keys. Safe for use
 * by any thread.
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

	synchronized IndexedValue get(String key, long servedIndex) {
		IndexedValue newest = null;
		for (IndexedValue entry : this.history.getOrDefault(key, List.of())) {
			if (servedIndex < 0 || entry.index() <= servedIndex) {
				newest = entry;
			}
		}
		return newest;
	}

	/**
	 * One value. The array must not be changed.
	 *
	 * @param index the index of its change
	 * @param value the value
	 */
	record IndexedValue(long index, byte[] value) {

	}

}
