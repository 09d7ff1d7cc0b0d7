package org.catkingate.runtime.staging;

import java.net.URI;

import org.catkingate.runtime.http.BufferedHttpClient;

/**
 * A factory for the client of the runner on this instance.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface LocalRunnerFactory {

	/**
	 * Creates the client of a runner.
	 * @param httpClient the HTTP client
	 * @param url the address of the runner
	 * @return the client, never null
	 */
	LocalRunner open(BufferedHttpClient httpClient, URI url);

}
