package org.catkingate.model.registry;

import java.util.List;
import java.util.Objects;

import org.catkingate.model.ServiceName;

/**
 * Which calls go to which services. Immutable and safe for use by any thread.
 *
 * @param name the name, for logs
 * @param host the host that callers name, in lower case and without a port
 * @param pathPrefix the beginning of the path, from slash to slash
 * @param kind how calls are answered and repeated
 * @param resumable whether another runner can go on with a stream that broke off
 * @param open whether callers need no key
 * @param timeoutMillis how long a caller is kept waiting for the whole answer, in
 * milliseconds
 * @param goalMillis within which the answer, or its first event, has its full value, in
 * milliseconds
 * @param priority the rank, 0 for the most urgent
 * @param maximumRunners how many runners one call may be sent to
 * @param targets the services, of which each call gets one by weight
 * @since 0.1
 */
public record Route(String name, String host, String pathPrefix, CallKind kind, boolean resumable, boolean open,
		long timeoutMillis, long goalMillis, int priority, int maximumRunners, List<Target> targets) {

	public Route {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(host, "host must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
			throw new IllegalArgumentException("route " + name + ": the path prefix must begin and end with a slash");
		}
		if (timeoutMillis < 1 || maximumRunners < 1) {
			throw new IllegalArgumentException(
					"route " + name + ": the timeout and the number of runners must be positive");
		}
		if (targets.stream().mapToInt(Target::weight).sum() < 1) {
			throw new IllegalArgumentException("route " + name + ": at least one service must have a weight");
		}
		targets = List.copyOf(targets);
	}

	/**
	 * Tells whether a call that may have run may be sent to another runner.
	 * @return whether a second run does no harm
	 */
	public boolean mayRunAgain() {
		return this.kind == CallKind.IDEMPOTENT || (this.kind == CallKind.STREAM && this.resumable);
	}

	/**
	 * Picks a service in proportion to the weights.
	 * @param draw a number from 0 (inclusive) to 1 (exclusive)
	 * @return the service, never null
	 */
	public ServiceName target(double draw) {
		int total = this.targets.stream().mapToInt(Target::weight).sum();
		double left = draw * total;
		for (Target target : this.targets) {
			left -= target.weight();
			if (left < 0) {
				return target.service();
			}
		}
		return this.targets.get(this.targets.size() - 1).service();
	}

	/**
	 * A service and its part of the calls.
	 *
	 * @param service the service
	 * @param weight the part, in proportion to the others
	 */
	public record Target(ServiceName service, int weight) {

		public Target {
			Objects.requireNonNull(service, "service must not be null");
			if (weight < 0) {
				throw new IllegalArgumentException("a weight must not be negative");
			}
		}

	}

}
