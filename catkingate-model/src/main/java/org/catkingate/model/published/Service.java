package org.catkingate.model.published;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.ServiceName;

/**
 * A service to which requests are routed. Immutable and safe for use by any thread.
 *
 * @param name the service's name
 * @param kind the kind of its runners
 * @param checksFencing whether its engines reject load commands with an outdated fencing
 * number
 * @param group the group of instances on which its runners are
 * @param nonIdempotentCalls calls that must not run more than once
 * @param idempotentCalls calls that may be retried
 * @param repeatWindowMillis how long after the first attempt a caller may repeat a
 * non-idempotent call, in milliseconds
 * @param expectedRunners the number of runners that operators expect; 0 if not specified
 * @param switchingSharePercent the maximum share of its runners that may switch versions
 * at the same time, in percent
 * @param concurrentRequests the maximum number of requests that a runner processes at the
 * same time
 * @param queuedRequests the maximum number of requests queued for a runner in addition
 * @since 0.1
 */
public record Service(ServiceName name, Kind kind, boolean checksFencing, String group,
		List<CallPattern> nonIdempotentCalls, List<CallPattern> idempotentCalls, long repeatWindowMillis,
		int expectedRunners, int switchingSharePercent, int concurrentRequests, int queuedRequests) {

	/**
	 * The maximum number of agents of a service with which idempotency keys chosen by
	 * callers are accepted, since these agents must agree on them. The agents of a larger
	 * service accept only keys that they have issued.
	 */
	public static final int MAX_AGENTS_FOR_CALLER_KEYS = 12;

	public Service {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(group, "group must not be null");
		nonIdempotentCalls = List.copyOf(nonIdempotentCalls);
		idempotentCalls = List.copyOf(idempotentCalls);
	}

	/**
	 * Returns whether a call may run more than once. A call that matches no pattern is
	 * idempotent if HTTP defines its method as idempotent.
	 * @param method the HTTP method
	 * @param path the path without the query
	 * @return {@code true} if the call is idempotent
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
	 * Returns whether the service accepts idempotency keys chosen by callers. Its agents
	 * connect to each other to agree on these keys.
	 * @return {@code true} if the service is plain or has non-idempotent calls
	 */
	public boolean acceptsCallerKeys() {
		return this.kind == Kind.PLAIN || !this.nonIdempotentCalls.isEmpty();
	}

	/**
	 * The kind of runners of a service.
	 */
	public enum Kind {

		/** Model engines, which hold weights. */
		ENGINE,

		/** Plain servers, which hold no weights. */
		PLAIN

	}

}
