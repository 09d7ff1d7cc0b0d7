package org.catkingate.model.registry;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;

import org.catkingate.model.AddressFormatter;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;

/**
 * A runner that has registered itself with the registry. Immutable and safe for use by
 * any thread.
 *
 * @param id its identifier, which may stay the same across restarts
 * @param startedAtEpochMillis the time at which it started, in milliseconds since the
 * epoch, which distinguishes restarts under one identifier; 0 if it is unknown
 * @param service the service that it belongs to
 * @param address the address at which it accepts calls, resolved and with a port
 * @param dataCentre the data centre in which it runs
 * @param slots the number of requests that it processes at the same time
 * @param draining whether it is leaving and must not receive new requests
 * @param models the version of the weights of each model that it serves; empty for a
 * plain service
 * @param coldLeftMillis the time for which it stays cold from its last registration on,
 * in milliseconds; 0 if it is warm
 * @since 0.1
 */
public record RegisteredRunner(RunnerId id, long startedAtEpochMillis, ServiceName service, InetSocketAddress address,
		DataCentreName dataCentre, int slots, boolean draining, Map<ModelName, Long> models, long coldLeftMillis) {

	public RegisteredRunner {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(address, "address must not be null");
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
		if (address.isUnresolved() || address.getPort() < 1) {
			throw new IllegalArgumentException("runner " + id + " must have a numeric IP address and a port");
		}
		if (slots < 1) {
			throw new IllegalArgumentException("runner " + id + " must have at least one slot");
		}
		models = Map.copyOf(models);
	}

	/**
	 * Returns whether another registration states the same, except for the time for which
	 * the runner stays cold, which changes with each registration.
	 * @param other the other registration
	 * @return whether the registrations are equal apart from that time
	 */
	public boolean equalsExceptColdTime(RegisteredRunner other) {
		return equals(new RegisteredRunner(other.id, other.startedAtEpochMillis, other.service, other.address,
				other.dataCentre, other.slots, other.draining, other.models, this.coldLeftMillis));
	}

	/**
	 * Returns the text form of the address.
	 * @return the address as IP:PORT
	 */
	public String addressText() {
		return AddressFormatter.format(this.address);
	}

}
