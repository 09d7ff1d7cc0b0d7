package org.catkingate.decisions.idempotency;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

import org.catkingate.model.ServiceName;

/**
 * The state of an agent with regard to the homes of keys. Immutable and safe for use by
 * any thread.
 *
 * @param listening the agent, with the address that it listens on
 * @param own the agent as the instance list has it, where the address may be that of a
 * proxy in front of it
 * @param listConfirmedAtMillis when the last confirmed read of the instance list was
 * sent, in milliseconds of the monotonic clock; empty before the first
 * @param services the services for which the agent has runners
 * @since 0.1
 */
public record KeyState(KeyHome listening, KeyHome own, OptionalLong listConfirmedAtMillis,
		Map<ServiceName, ServiceKeyState> services) {

	public KeyState {
		Objects.requireNonNull(listening, "listening must not be null");
		Objects.requireNonNull(own, "own must not be null");
		services = Map.copyOf(services);
	}

	/**
	 * Creates the state of an agent that has just started.
	 * @param listening the agent, with the address that it listens on
	 * @return a state without services, never null
	 */
	public static KeyState starting(KeyHome listening) {
		return new KeyState(listening, listening, OptionalLong.empty(), Map.of());
	}

	KeyState withListConfirmedAt(long requestedAtMillis) {
		long latest = Math.max(requestedAtMillis, this.listConfirmedAtMillis.orElse(requestedAtMillis));
		return new KeyState(this.listening, this.own, OptionalLong.of(latest), this.services);
	}

	KeyState withServices(Map<ServiceName, ServiceKeyState> updated) {
		return new KeyState(this.listening, this.own, this.listConfirmedAtMillis, updated);
	}

	KeyState withOwn(KeyHome home) {
		return new KeyState(this.listening, home, this.listConfirmedAtMillis, this.services);
	}

}
