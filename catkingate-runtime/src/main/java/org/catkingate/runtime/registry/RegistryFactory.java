package org.catkingate.runtime.registry;

import java.net.URI;

import org.catkingate.runtime.http.BufferedHttpClient;

/**
 * A factory for the registry that a process follows.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RegistryFactory {

	/**
	 * Creates the access to a registry.
	 * @param calls the HTTP client
	 * @param url the address of the registry
	 * @return the registry, never null
	 */
	Registry open(BufferedHttpClient calls, URI url);

}
