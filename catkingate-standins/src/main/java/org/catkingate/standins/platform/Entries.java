package org.catkingate.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Every value that each key has had, under indexes that rise over all keys. Safe for use
 * by any thread.
 */
final class Entries {

	private final Map<String, List<Entry>> history = new HashMap<>();

	private long index;

	synchronized long put(String key, byte[] value) {
		this.index++;
		this.history.computeIfAbsent(key, (absent) -> new ArrayList<>()).add(new Entry(this.index, value));
		return this.index;
	}

	synchronized long index() {
		return this.index;
	}

	synchronized Entry get(String key, long servedIndex) {
		Entry newest = null;
		for (Entry entry : this.history.getOrDefault(key, List.of())) {
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
	record Entry(long index, byte[] value) {

	}

}
