package org.catkingate.decisions.routing;

import java.util.Comparator;
import java.util.Objects;

import org.catkingate.model.InstanceId;
import org.catkingate.model.RunnerId;

/**
 * The identity of a runner in the whole fleet. Immutable and safe for use by any thread.
 *
 * @param instance the instance that the runner is on
 * @param runner the name of the runner on its instance
 * @since 0.1
 */
public record RunnerKey(InstanceId instance, RunnerId runner) implements Comparable<RunnerKey> {

	private static final Comparator<RunnerKey> ORDER = Comparator.comparing(RunnerKey::instance)
		.thenComparing(RunnerKey::runner);

	public RunnerKey {
		Objects.requireNonNull(instance, "instance must not be null");
		Objects.requireNonNull(runner, "runner must not be null");
	}

	@Override
	public int compareTo(RunnerKey other) {
		return ORDER.compare(this, other);
	}

	@Override
	public String toString() {
		return this.instance + "/" + this.runner;
	}

}
