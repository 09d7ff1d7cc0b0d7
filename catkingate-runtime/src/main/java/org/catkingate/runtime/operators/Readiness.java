package org.catkingate.runtime.operators;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Whether the platform's balancer should send callers here. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class Readiness {

	private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);

	private Readiness() {
	}

	/**
	 * Starts in {@link Phase#STARTING}.
	 * @return the readiness, never null
	 */
	public static Readiness starting() {
		return new Readiness();
	}

	/**
	 * Takes note that the process can serve, unless it is stopping already.
	 */
	public void ready() {
		this.phase.compareAndSet(Phase.STARTING, Phase.READY);
	}

	/**
	 * Takes note that the process is stopping, for good.
	 */
	public void stopping() {
		this.phase.set(Phase.STOPPING);
	}

	/**
	 * Returns the phase now.
	 * @return the phase, never null
	 */
	public Phase phase() {
		return Objects.requireNonNull(this.phase.get());
	}

	/**
	 * The phases in the life of a process.
	 */
	public enum Phase {

		/** Not able to serve yet. */
		STARTING,

		/** Serving. */
		READY,

		/** Finishing what it holds. */
		STOPPING

	}

}
