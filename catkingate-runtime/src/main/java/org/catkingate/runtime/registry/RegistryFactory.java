package org.catkingate.runtime.registry;

import java.net.URI;

import org.catkingate.runtime.http.BufferedHttpClient;

/**
 * A factory for clients of the registry that a process follows.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RegistryFactory {

	/**
	 * Creates a client of a registry.
	 * @param httpClient the HTTP client
	 * @param url the address of the registry
	 * @return the client, never null
	 */
	Registry open(BufferedHttpClient httpClient, URI url);

}
