package org.catkingate.model.published;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.ServiceName;

/**
 * A service that requests are routed to. Immutable and safe for use by any thread.
 *
 * @param name the service's name
 * @param kind whether its runners hold weights
 * @param checksFencing whether its engines refuse an order with an old fencing number
 * @param group the group of instances that its runners are on
 * @param nonIdempotentCalls calls that may run once only
 * @param idempotentCalls calls that may be retried
 * @param repeatWindowMillis how long after its first attempt a caller may repeat a
 * non-idempotent call, in milliseconds
 * @param expectedRunners how many runners operators mean it to have, 0 if they do not say
 * @param switchingSharePercent the largest share of its runners that may switch versions
 * at once, in percent
 * @param concurrentRequests how many requests one runner takes at a time
 * @param queuedRequests how many more wait for one runner
 * @since 0.1
 */
public record Service(ServiceName name, Kind kind, boolean checksFencing, String group,
		List<CallPattern> nonIdempotentCalls, List<CallPattern> idempotentCalls, long repeatWindowMillis,
		int expectedRunners, int switchingSharePercent, int concurrentRequests, int queuedRequests) {

	/**
	 * The most agents of one service that agree on callers' keys. The agents of a larger
	 * service take only keys that they have issued.
	 */
	public static final int MOST_AGENTS_FOR_KEYS = 12;

	public Service {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(group, "group must not be null");
		nonIdempotentCalls = List.copyOf(nonIdempotentCalls);
		idempotentCalls = List.copyOf(idempotentCalls);
	}

	/**
	 * Tells how often a call may run. A call that no pattern names is idempotent only if
	 * HTTP defines its method so.
	 * @param method the HTTP method
	 * @param path the path without query
	 * @return whether a second run does no harm
	 */
	public boolean isIdempotent(String method, String path) {
		if (CallPattern.anyMatches(this.nonIdempotentCalls, method, path)) {
			return false;
		}
		if (CallPattern.anyMatches(this.idempotentCalls, method, path)) {
			return true;
		}
		return CallPattern.isIdempotentMethod(method);
	}

	/**
	 * Tells whether the agents of the service agree on callers' keys, for which they meet
	 * each other.
	 * @return whether it is plain or names calls that may run once only
	 */
	public boolean takesCallersKeys() {
		return this.kind == Kind.PLAIN || !this.nonIdempotentCalls.isEmpty();
	}

	/**
	 * What the runners of a service are.
	 */
	public enum Kind {

		/** Model engines, which hold weights. */
		ENGINE,

		/** Plain services, which hold none. */
		PLAIN

	}

}
