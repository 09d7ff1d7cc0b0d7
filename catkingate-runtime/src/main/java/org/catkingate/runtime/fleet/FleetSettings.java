package org.catkingate.runtime.fleet;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Objects;

import org.catkingate.decisions.membership.ProcessIdentity;
import org.catkingate.wire.SharedKey;

/**
 * The settings of {@link Fleet}. Immutable and safe for use by any thread.
 *
 * @param self the identity of this process
 * @param configuration the base URI of the configuration service
 * @param instances the base URI of the list of instances
 * @param listen the address on which an agent accepts connections; null for an entry
 * @param sharedKey the key that all processes share
 * @param ioThreads the number of I/O threads for the connections
 * @since 0.1
 */
public record FleetSettings(ProcessIdentity self, URI configuration, URI instances, InetSocketAddress listen,
		SharedKey sharedKey, int ioThreads) {

	public FleetSettings {
		Objects.requireNonNull(self, "self must not be null");
		Objects.requireNonNull(configuration, "configuration must not be null");
		Objects.requireNonNull(instances, "instances must not be null");
		Objects.requireNonNull(sharedKey, "sharedKey must not be null");
	}

}
