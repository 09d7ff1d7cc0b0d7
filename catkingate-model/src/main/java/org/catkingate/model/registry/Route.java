package org.catkingate.model.registry;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.catkingate.model.RegionName;
import org.catkingate.model.ServiceName;

/**
 * A route, which assigns calls to services. Immutable and safe for use by any thread.
 *
 * @param name the name, for logs
 * @param host the host of the call, in lower case and without a port
 * @param pathPrefix the prefix of the path, which begins and ends with a slash
 * @param kind the kind of the calls
 * @param resumable whether another runner can resume an interrupted stream
 * @param allowsAnonymousCalls whether calls without a key are allowed
 * @param timeoutMillis the maximum time until the response is complete, in milliseconds
 * @param goalMillis the latency objective for the response or, for a stream, its first
 * event, in milliseconds
 * @param priority the priority; 0 is the most urgent
 * @param maxRunners the maximum number of runners to which one call may be sent
 * @param targets the services, one of which is selected per call in proportion to its
 * weight
 * @param patienceMillis the time without an event after which callers abandon a stream,
 * also before its first event, in milliseconds; {@link Long#MAX_VALUE} if they do not
 * @param allowedRegions the regions in which the calls may be served; empty if all are
 * allowed
 * @since 0.1
 */
public record Route(String name, String host, String pathPrefix, CallKind kind, boolean resumable,
		boolean allowsAnonymousCalls, long timeoutMillis, long goalMillis, int priority, int maxRunners,
		List<Target> targets, long patienceMillis, Set<RegionName> allowedRegions) {

	public Route {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(host, "host must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
			throw new IllegalArgumentException("route " + name + ": the path prefix must begin and end with a slash");
		}
		if (timeoutMillis < 1 || maxRunners < 1) {
			throw new IllegalArgumentException(
					"route " + name + ": the timeout and the number of runners must be positive");
		}
		if (targets.stream().mapToInt(Target::weight).sum() < 1) {
			throw new IllegalArgumentException("route " + name + ": at least one service must have a weight");
		}
		targets = List.copyOf(targets);
		allowedRegions = Set.copyOf(allowedRegions);
	}

	/**
	 * Returns whether a call that may have run may be sent to another runner.
	 * @return {@code true} if the call may run more than once
	 */
	public boolean canRunAgain() {
		return this.kind == CallKind.IDEMPOTENT || (this.kind == CallKind.STREAM && this.resumable);
	}

	/**
	 * Selects a service in proportion to the weights.
	 * @param draw a random number from 0 (inclusive) to 1 (exclusive)
	 * @return the service, never null
	 */
	public ServiceName selectService(double draw) {
		int total = this.targets.stream().mapToInt(Target::weight).sum();
		double remaining = draw * total;
		for (Target target : this.targets) {
			remaining -= target.weight();
			if (remaining < 0) {
				return target.service();
			}
		}
		return this.targets.get(this.targets.size() - 1).service();
	}

	/**
	 * A service and its share of the calls.
	 *
	 * @param service the service
	 * @param weight the weight, relative to the other targets
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
