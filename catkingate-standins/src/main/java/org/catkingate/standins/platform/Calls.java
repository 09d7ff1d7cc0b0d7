package org.catkingate.standins.platform;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkingate.standins.HttpService;

/**
 * Counts calls; a waiting watch is one. Safe for use by any thread.
 */
final class Calls {

	private final AtomicLong configuration = new AtomicLong();

	private final AtomicLong instances = new AtomicLong();

	private final AtomicLong bytes = new AtomicLong();

	private final AtomicLong waiting = new AtomicLong();

	private long second;

	private long inSecond;

	private long busiestSecond;

	void configuration() {
		this.configuration.incrementAndGet();
		count();
	}

	void instances() {
		this.instances.incrementAndGet();
		count();
	}

	void sent(long count) {
		this.bytes.addAndGet(count);
	}

	void waiting(int change) {
		this.waiting.addAndGet(change);
	}

	private synchronized void count() {
		long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
		if (now != this.second) {
			this.second = now;
			this.inSecond = 0;
		}
		this.inSecond++;
		this.busiestSecond = Math.max(this.busiestSecond, this.inSecond);
	}

	synchronized ObjectNode toJson() {
		return HttpService.JSON.createObjectNode()
			.put("configuration", this.configuration.get())
			.put("instances", this.instances.get())
			.put("waiting", this.waiting.get())
			.put("bytes", this.bytes.get())
			.put("busiestSecond", this.busiestSecond);
	}

}
