package org.catkingate.decisions.prompts;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The parts on which runners have written without harm, and when. Bounded: parts that
 * were seen only once are kept apart from the others, so that many new parts do not
 * displace those in general use. Not safe for use by several threads.
 */
final class ClearedParts {

	private final Map<String, Long> once;

	private final Map<String, Long> repeatedly;

	ClearedParts(int maxParts) {
		this.once = new BoundedMap(maxParts);
		this.repeatedly = new BoundedMap(maxParts);
	}

	void add(String part, long nowMillis) {
		if (this.repeatedly.containsKey(part) || this.once.remove(part) != null) {
			this.repeatedly.put(part, nowMillis);
		}
		else {
			this.once.put(part, nowMillis);
		}
	}

	/*
	 * Returns when the part was last cleared, or null.
	 */
	Long lastMillis(String part) {
		Long repeated = this.repeatedly.get(part);
		return (repeated != null) ? repeated : this.once.get(part);
	}

	int size() {
		return this.once.size() + this.repeatedly.size();
	}

	/**
	 * A map that removes the entry that was not used for the longest time.
	 */
	private static final class BoundedMap extends LinkedHashMap<String, Long> {

		private static final long serialVersionUID = 1L;

		private static final float LOAD_FACTOR = 0.75f;

		private final int maxSize;

		BoundedMap(int maxSize) {
			super(16, LOAD_FACTOR, true);
			this.maxSize = maxSize;
		}

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > this.maxSize;
		}

	}

}
