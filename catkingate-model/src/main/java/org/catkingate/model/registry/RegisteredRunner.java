package org.catkingate.model.registry;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;

import org.catkingate.model.DataCentreName;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.WrittenAddress;

/**
 * A runner as it registers itself. Immutable and safe for use by any thread.
 *
 * @param id its identity, which a restart may keep
 * @param startedAtEpochMillis when it started, in milliseconds since the epoch; tells the
 * lives of one identity apart; 0 if it is not told
 * @param service the service that it belongs to
 * @param address where it is called
 * @param dataCentre where it stands
 * @param slots how many requests it works on at a time
 * @param draining whether it is leaving and is to get no new work
 * @param models the version of the weights of each model that it serves; empty for a
 * plain service
 * @since 0.1
 */
public record RegisteredRunner(RunnerId id, long startedAtEpochMillis, ServiceName service, InetSocketAddress address,
		DataCentreName dataCentre, int slots, boolean draining, Map<ModelName, Long> models) {

	public RegisteredRunner {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(address, "address must not be null");
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
		if (slots < 1) {
			throw new IllegalArgumentException("runner " + id + " must have at least one slot");
		}
		models = Map.copyOf(models);
	}

	/**
	 * Writes the address.
	 * @return the address as IP:PORT
	 */
	public String writtenAddress() {
		return WrittenAddress.of(this.address);
	}

}
