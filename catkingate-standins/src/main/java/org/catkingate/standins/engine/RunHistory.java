package org.catkingate.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkingate.standins.HttpService;

/**
 * The most recent runs that have ended, including cancelled ones, up to a fixed number,
 * and totals over all runs that have ended. Safe for use by any thread.
 */
final class RunHistory {

	private static final int MAX_RUNS = 100_000;

	private final Deque<EngineRun> endedRuns = new ArrayDeque<>();

	private long count;

	private long cancelled;

	private long tokens;

	synchronized void add(EngineRun run) {
		this.count++;
		this.tokens += run.tokens();
		if (run.cancelled()) {
			this.cancelled++;
		}
		this.endedRuns.add(run);
		if (this.endedRuns.size() > MAX_RUNS) {
			this.endedRuns.poll();
		}
	}

	synchronized ObjectNode toJson() {
		ObjectNode json = HttpService.JSON.createObjectNode()
			.put("count", this.count)
			.put("cancelled", this.cancelled)
			.put("tokens", this.tokens);
		json.set("runs", HttpService.JSON.valueToTree(this.endedRuns));
		return json;
	}

	synchronized EngineRun[] endedRuns() {
		return this.endedRuns.toArray(EngineRun[]::new);
	}

}
