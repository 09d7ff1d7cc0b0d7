package org.catkingate.runtime.staging;

import java.net.URI;

import org.catkingate.runtime.http.HttpCalls;

/**
 * Opens the calls to the runner on this machine.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RunnerAccess {

	/**
	 * Opens the calls.
	 * @param calls makes the calls
	 * @param url where the runner is
	 * @return the calls, never null
	 */
	LocalRunner open(HttpCalls calls, URI url);

}
