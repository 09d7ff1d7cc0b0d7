package org.catkingate.runtime.fleet;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Objects;

import org.catkingate.decisions.membership.Self;
import org.catkingate.wire.SharedKey;

/**
 * What {@link Fleet} needs. Immutable and safe for use by any thread.
 *
 * @param self this process
 * @param configuration where the configuration service is
 * @param instances where the list of instances is
 * @param listen where an agent accepts links; null for an entry
 * @param sharedKey the key that all processes share
 * @param ioThreads how many threads serve the links
 * @since 0.1
 */
public record FleetSettings(Self self, URI configuration, URI instances, InetSocketAddress listen, SharedKey sharedKey,
		int ioThreads) {

	public FleetSettings {
		Objects.requireNonNull(self, "self must not be null");
		Objects.requireNonNull(configuration, "configuration must not be null");
		Objects.requireNonNull(instances, "instances must not be null");
		Objects.requireNonNull(sharedKey, "sharedKey must not be null");
	}

}
