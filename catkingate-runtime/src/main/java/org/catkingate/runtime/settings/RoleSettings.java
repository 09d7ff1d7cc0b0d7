package org.catkingate.runtime.settings;

/**
 * The settings that are common to all roles.
 *
 * @since 0.1
 */
public interface RoleSettings {

	/**
	 * Returns the identity and location of the process.
	 * @return the settings of the process, never null
	 */
	ProcessSettings.Process process();

}
