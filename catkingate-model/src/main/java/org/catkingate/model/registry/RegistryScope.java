package org.catkingate.model.registry;

/**
 * The part of the registry that a process follows.
 *
 * @since 0.1
 */
public enum RegistryScope {

	/** Configuration, declared versions and runners. */
	EVERYTHING,

	/** Items that operators publish: configuration and declared versions. */
	OPERATORS

}
