package org.catkingate.runtime.process;

import java.security.SecureRandom;

import org.catkingate.decisions.membership.ProcessIdentity;
import org.catkingate.runtime.settings.ProcessSettings;
import org.catkingate.wire.HandshakeMessage;

/**
 * Factory for the identity of a process at its start. Stateless.
 *
 * @since 0.1
 */
public final class ProcessIdentities {

	private ProcessIdentities() {
	}

	/**
	 * Creates the identity of a process, with a new random incarnation.
	 * @param settings the settings
	 * @return the identity, never null
	 */
	public static ProcessIdentity of(ProcessSettings.Process settings) {
		return new ProcessIdentity(settings.instance(), settings.role(), newIncarnation(), settings.dataCentre(),
				settings.region(), settings.labels());
	}

	/**
	 * Converts an identity to the form that the process sends to its peers in the
	 * handshake.
	 * @param self the identity
	 * @return the identity for the handshake, never null
	 */
	public static HandshakeMessage.PeerIdentity toPeerIdentity(ProcessIdentity self) {
		return new HandshakeMessage.PeerIdentity(self.instance(), self.role(), self.incarnation(), self.dataCentre(),
				self.region());
	}

	// The lowest bit is set since 0 stands for an unknown incarnation.
	private static long newIncarnation() {
		return new SecureRandom().nextLong() | 1;
	}

}
