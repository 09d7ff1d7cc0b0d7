package org.catkingate.runtime.process;

/**
 * A running process of any role.
 *
 * @since 0.1
 */
public interface RunningProcess {

	/**
	 * Shuts the process down gracefully: first the readiness check fails, then new
	 * requests are rejected, and requests in progress may finish within the limit in the
	 * settings. Blocks until the shutdown is complete. A second call returns immediately.
	 */
	void stop();

}
