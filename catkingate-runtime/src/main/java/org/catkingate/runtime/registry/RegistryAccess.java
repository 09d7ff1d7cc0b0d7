package org.catkingate.runtime.registry;

import java.net.URI;

import org.catkingate.runtime.http.HttpCalls;

/**
 * Opens the registry that a process follows.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RegistryAccess {

	/**
	 * Opens a registry.
	 * @param calls makes the calls
	 * @param url where the registry is
	 * @return the registry, never null
	 */
	Registry open(HttpCalls calls, URI url);

}
