package org.catkingate.decisions.idempotency;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

import org.catkingate.model.ServiceName;

/**
 * What an agent knows of the homes of keys. Immutable and safe for use by any thread.
 *
 * @param own the agent
 * @param listConfirmedAtMillis when the read of the list was sent that was answered last,
 * in milliseconds of the monotonic clock; empty before the first
 * @param services the services that the agent has runners of
 * @since 0.1
 */
public record KeyState(KeyHome own, OptionalLong listConfirmedAtMillis, Map<ServiceName, ServiceKeys> services) {

	public KeyState {
		Objects.requireNonNull(own, "own must not be null");
		services = Map.copyOf(services);
	}

	/**
	 * Returns what an agent knows when it starts.
	 * @param own the agent
	 * @return a state without services, never null
	 */
	public static KeyState starting(KeyHome own) {
		return new KeyState(own, OptionalLong.empty(), Map.of());
	}

}
