package org.catkingate.runtime.process;

import java.security.SecureRandom;

import org.catkingate.decisions.membership.Self;
import org.catkingate.runtime.settings.ProcessSettings;
import org.catkingate.wire.Handshake;

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
		return new Self(settings.instance(), settings.role(), newIncarnation(), settings.dataCentre(),
				settings.region(), settings.labels());
	}

	/**
	 * Returns what a process proves to others.
	 * @param self the identity
	 * @return the same as others see it, never null
	 */
	public static Handshake.PeerIdentity identity(Self self) {
		return new Handshake.PeerIdentity(self.instance(), self.role(), self.incarnation(), self.dataCentre(),
				self.region());
	}

	// zero stands for an unknown incarnation
	private static long newIncarnation() {
		return new SecureRandom().nextLong() | 1;
	}

}
