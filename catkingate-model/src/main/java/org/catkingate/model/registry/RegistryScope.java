package org.catkingate.model.registry;

/**
 * Which part of a registry a process follows.
 *
 * @since 0.1
 */
public enum RegistryScope {

	/** Configuration, declared versions and runners. */
	EVERYTHING,

	/** What operators publish: configuration and declared versions. */
	OPERATORS

}
