package org.catkingate.standins.platform;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkingate.standins.HttpService;

/**
 * Counters of the calls that the platform has received. A pending watch counts as one
 * call. Safe for use by any thread.
 */
final class CallStatistics {

	private final AtomicLong configuration = new AtomicLong();

	private final AtomicLong instances = new AtomicLong();

	private final AtomicLong sentBytes = new AtomicLong();

	private final AtomicLong waiting = new AtomicLong();

	private long currentSecond;

	private long callsInCurrentSecond;

	private long busiestSecond;

	void recordConfigurationCall() {
		this.configuration.incrementAndGet();
		count();
	}

	void recordInstancesCall() {
		this.instances.incrementAndGet();
		count();
	}

	void recordSentBytes(long count) {
		this.sentBytes.addAndGet(count);
	}

	void addWaiting(int change) {
		this.waiting.addAndGet(change);
	}

	private synchronized void count() {
		long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
		if (now != this.currentSecond) {
			this.currentSecond = now;
			this.callsInCurrentSecond = 0;
		}
		this.callsInCurrentSecond++;
		this.busiestSecond = Math.max(this.busiestSecond, this.callsInCurrentSecond);
	}

	synchronized ObjectNode toJson() {
		return HttpService.JSON.createObjectNode()
			.put("configuration", this.configuration.get())
			.put("instances", this.instances.get())
			.put("waiting", this.waiting.get())
			.put("bytes", this.sentBytes.get())
			.put("busiestSecond", this.busiestSecond);
	}

}
