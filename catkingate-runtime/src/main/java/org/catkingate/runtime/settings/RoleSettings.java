package org.catkingate.runtime.settings;

/**
 * What the settings of every role hold.
 *
 * @since 0.1
 */
public interface RoleSettings {

	/**
	 * Returns who and where the process is.
	 * @return the process, never null
	 */
	ProcessSettings.Process process();

}
