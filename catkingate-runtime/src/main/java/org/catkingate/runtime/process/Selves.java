package org.catkingate.runtime.process;

import java.security.SecureRandom;

import org.catkingate.decisions.membership.Self;
import org.catkingate.runtime.settings.ProcessSettings;

/**
 * Makes the identity of a process that starts. Stateless.
 *
 * @since 0.1
 */
public final class Selves {

	private Selves() {
	}

	/**
	 * Makes the identity, with a new incarnation.
	 * @param settings the settings
	 * @return the identity, never null
	 */
	public static Self of(ProcessSettings.Process settings) {
		return new Self(settings.instance(), settings.role(), incarnation(), settings.dataCentre(), settings.region(),
				settings.labels());
	}

	// zero stands for an unknown incarnation
	private static long incarnation() {
		return new SecureRandom().nextLong() | 1;
	}

}
