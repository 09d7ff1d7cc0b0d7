package org.catkingate.runtime.operators;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The readiness of a process, which determines whether the platform's load balancer
 * should send requests to it. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class Readiness {

	private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);

	private Readiness() {
	}

	/**
	 * Creates a readiness in {@link Phase#STARTING}.
	 * @return the readiness, never null
	 */
	public static Readiness starting() {
		return new Readiness();
	}

	/**
	 * Marks the process as ready, unless it is already stopping.
	 */
	public void markReady() {
		this.phase.compareAndSet(Phase.STARTING, Phase.READY);
	}

	/**
	 * Marks the process as stopping, which is final.
	 */
	public void markStopping() {
		this.phase.set(Phase.STOPPING);
	}

	/**
	 * Returns the current phase.
	 * @return the phase, never null
	 */
	public Phase phase() {
		return Objects.requireNonNull(this.phase.get());
	}

	/**
	 * The phases in the life of a process.
	 */
	public enum Phase {

		/** The process cannot serve requests yet. */
		STARTING,

		/** The process serves requests. */
		READY,

		/** The process finishes the requests in progress before it ends. */
		STOPPING

	}

}
