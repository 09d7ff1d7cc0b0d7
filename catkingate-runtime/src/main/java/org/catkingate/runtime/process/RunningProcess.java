package org.catkingate.runtime.process;

/**
 * A process of the system that has started.
 *
 * @since 0.1
 */
public interface RunningProcess {

	/**
	 * Ends the process gracefully: the readiness check turns first, no more work is
	 * taken, and requests in progress are finished up to the limit in the settings.
	 * Blocks until then. A second call returns at once.
	 */
	void stop();

}
