package org.catkingate.runtime.operators;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

/**
 * The readiness of a process, which determines whether the platform's load balancer
 * should send requests to it. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class Readiness {

	private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);

	private final BooleanSupplier canServe;

	private Readiness(BooleanSupplier canServe) {
		this.canServe = canServe;
	}

	/**
	 * Creates a readiness in {@link Phase#STARTING}.
	 * @return the readiness, never null
	 */
	public static Readiness starting() {
		return startingWhile(() -> true);
	}

	/**
	 * Creates a readiness in {@link Phase#STARTING} that depends on a condition.
	 * @param canServe whether a process that has started can serve requests now; called
	 * by any thread
	 * @return the readiness
	 */
	public static Readiness startingWhile(BooleanSupplier canServe) {
		return new Readiness(canServe);
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
		Phase current = Objects.requireNonNull(this.phase.get());
		return (current == Phase.READY && !this.canServe.getAsBoolean()) ? Phase.DEGRADED : current;
	}

	/**
	 * The phases in the life of a process.
	 */
	public enum Phase {

		/** The process cannot serve requests yet. */
		STARTING,

		/** The process serves requests. */
		READY,

		/** The process has started, but rejects most requests for now. */
		DEGRADED,

		/** The process finishes the requests in progress before it ends. */
		STOPPING

	}

}
