package org.catkingate.agent.requests;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

import org.catkingate.model.RequestId;

/**
 * Identifiers of requests that must not be started, or not started again. They are kept
 * for as long as a delayed dispatch of such a request could still be accepted. Safe for
 * use by any thread.
 */
final class RecentRequestIds {

	private final Deque<RecentRequest> byAge = new ArrayDeque<>();

	private final Set<RequestId> ids = new HashSet<>();

	private final long retentionMillis;

	RecentRequestIds(long retentionMillis) {
		this.retentionMillis = retentionMillis;
	}

	synchronized void add(RequestId request, long nowMillis) {
		if (this.ids.add(request)) {
			this.byAge.add(new RecentRequest(request, nowMillis));
		}
	}

	synchronized boolean contains(RequestId request) {
		return this.ids.contains(request);
	}

	synchronized void removeExpired(long nowMillis) {
		while (!this.byAge.isEmpty() && nowMillis - this.byAge.peek().addedAtMillis() > this.retentionMillis) {
			this.ids.remove(this.byAge.poll().request());
		}
	}

	/**
	 * Identifier of a request with the time at which it was added.
	 *
	 * @param request the request
	 * @param addedAtMillis the time, in milliseconds of the monotonic clock
	 */
	private record RecentRequest(RequestId request, long addedAtMillis) {

	}

}
