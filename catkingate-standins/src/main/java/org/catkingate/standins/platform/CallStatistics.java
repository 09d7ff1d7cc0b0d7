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

	private final AtomicLong configurationCalls = new AtomicLong();

	private final AtomicLong instancesCalls = new AtomicLong();

	private final AtomicLong sentBytes = new AtomicLong();

	private final AtomicLong pendingWatches = new AtomicLong();

	private long currentSecond;

	private long callsInCurrentSecond;

	private long maxCallsPerSecond;

	void recordConfigurationCall() {
		this.configurationCalls.incrementAndGet();
		recordCallTime();
	}

	void recordInstancesCall() {
		this.instancesCalls.incrementAndGet();
		recordCallTime();
	}

	void recordSentBytes(long count) {
		this.sentBytes.addAndGet(count);
	}

	void addPendingWatches(int change) {
		this.pendingWatches.addAndGet(change);
	}

	private synchronized void recordCallTime() {
		long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
		if (now != this.currentSecond) {
			this.currentSecond = now;
			this.callsInCurrentSecond = 0;
		}
		this.callsInCurrentSecond++;
		this.maxCallsPerSecond = Math.max(this.maxCallsPerSecond, this.callsInCurrentSecond);
	}

	synchronized ObjectNode toJson() {
		return HttpService.JSON.createObjectNode()
			.put("configuration", this.configurationCalls.get())
			.put("instances", this.instancesCalls.get())
			.put("waiting", this.pendingWatches.get())
			.put("bytes", this.sentBytes.get())
			.put("busiestSecond", this.maxCallsPerSecond);
	}

}
