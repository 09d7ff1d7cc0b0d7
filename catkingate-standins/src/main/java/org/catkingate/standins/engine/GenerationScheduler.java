package org.catkingate.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * A scheduler that limits the generations that run concurrently and queues the others, by
 * priority and then by age. Safe for use by any thread.
 */
final class GenerationScheduler {

	private final EngineOptions options;

	private final Map<Generation, Boolean> running = new LinkedHashMap<>();

	private final Queue<Generation> waiting = new PriorityQueue<>(
			Comparator.comparingInt((Generation generation) -> -generation.request().priority())
				.thenComparingLong(Generation::sequenceNumber));

	private final Map<String, Boolean> cachedPrefixes = new LinkedHashMap<>(16, 0.75f, true);

	private final DelayedRequestCounts delayedCounts = new DelayedRequestCounts();

	private long nextSequenceNumber;

	GenerationScheduler(EngineOptions options) {
		this.options = options;
	}

	synchronized long nextSequenceNumber() {
		return this.nextSequenceNumber++;
	}

	/**
	 * Accepts a generation, which is started on its own I/O thread as soon as a slot is
	 * free.
	 * @param generation the generation
	 * @return false if all slots are in use and the queue is full
	 */
	synchronized boolean admit(Generation generation) {
		if (this.running.size() >= this.options.concurrency && this.waiting.size() >= this.options.queue) {
			return false;
		}
		this.waiting.add(generation);
		startWaitingGenerations();
		return true;
	}

	synchronized void remove(Generation generation) {
		this.waiting.remove(generation);
		this.running.remove(generation);
		startWaitingGenerations();
	}

	private void startWaitingGenerations() {
		while (this.running.size() < this.options.concurrency && !this.waiting.isEmpty()) {
			Generation next = this.waiting.poll();
			this.running.put(next, true);
			next.start(!cachePrefix(next.request().prompt()));
		}
		this.delayedCounts.record(this.running.size(), this.waiting.size(), this.options.loadLagMillis);
	}

	/**
	 * Adds the first half of a prompt to the cache of prefixes, or marks it as recently
	 * used.
	 * @param prompt the prompt
	 * @return whether the cache already contained the prefix
	 */
	private boolean cachePrefix(String prompt) {
		String prefix = prompt.substring(0, prompt.length() / 2);
		boolean cached = this.cachedPrefixes.put(prefix, true) != null;
		if (this.cachedPrefixes.size() > this.options.cachedPrefixes) {
			this.cachedPrefixes.remove(this.cachedPrefixes.keySet().iterator().next());
		}
		return cached;
	}

	synchronized DelayedRequestCounts.RequestCounts reportedCounts() {
		return this.delayedCounts.reportedCounts(this.options.loadLagMillis);
	}

	synchronized List<Generation> findByRequestId(String id) {
		List<Generation> found = new ArrayList<>();
		this.running.keySet().stream().filter((generation) -> generation.request().id().equals(id)).forEach(found::add);
		this.waiting.stream().filter((generation) -> generation.request().id().equals(id)).forEach(found::add);
		return found;
	}

}
