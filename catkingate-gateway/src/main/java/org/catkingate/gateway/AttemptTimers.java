package org.catkingate.gateway;

import java.util.concurrent.TimeUnit;

import org.xnio.XnioExecutor;

/**
 * The timers of the attempt in progress of one call. They are removed when its response
 * starts or the call ends, since a timer keeps the call and its body in memory until it
 * is due. Used by the traffic thread only.
 */
final class AttemptTimers {

	private static final XnioExecutor.Key NONE = () -> false;

	private final XnioExecutor executor;

	private XnioExecutor.Key startTimeout = NONE;

	private XnioExecutor.Key versionCheck = NONE;

	/**
	 * Creates an instance without timers.
	 * @param executor runs the actions
	 */
	AttemptTimers(XnioExecutor executor) {
		this.executor = executor;
	}

	/**
	 * Sets the time within which a response has to start.
	 * @param action runs after this time
	 * @param millis the time, in milliseconds
	 */
	void setStartTimeout(Runnable action, long millis) {
		this.startTimeout = this.executor.executeAfter(action, millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Sets the time of the next check of the version that the runner serves.
	 * @param action runs after this time
	 * @param millis the time, in milliseconds
	 */
	void setVersionCheck(Runnable action, long millis) {
		this.versionCheck = this.executor.executeAfter(action, millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Removes all timers.
	 */
	void remove() {
		this.startTimeout.remove();
		this.versionCheck.remove();
	}

}
