package org.catkingate.runtime.settings;

/**
 * The settings that are common to all roles.
 *
 * @since 0.1
 */
public interface RoleSettings {

	/** The limit of roles that have no setting for it. */
	long DEFAULT_SHUTDOWN_MILLIS = 5000;

	/**
	 * Returns the identity and location of the process.
	 * @return the settings of the process, never null
	 */
	ProcessSettings.Process process();

	/**
	 * Returns how long a graceful shutdown may take.
	 * @return the time in milliseconds
	 */
	default long shutdownMillis() {
		return DEFAULT_SHUTDOWN_MILLIS;
	}

}
