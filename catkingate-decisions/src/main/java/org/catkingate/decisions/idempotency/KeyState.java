package org.catkingate.decisions.idempotency;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

import org.catkingate.model.ServiceName;

/**
 * What an agent knows of the homes of keys. Immutable and safe for use by any thread.
 *
 * @param listening the agent, with the address that it listens on
 * @param own the agent as the platform's list has it, where the address may be that of
 * something in front of it
 * @param listConfirmedAtMillis when the read of the list was sent that was answered last,
 * in milliseconds of the monotonic clock; empty before the first
 * @param services the services that the agent has runners of
 * @since 0.1
 */
public record KeyState(KeyHome listening, KeyHome own, OptionalLong listConfirmedAtMillis,
		Map<ServiceName, ServiceKeys> services) {

	public KeyState {
		Objects.requireNonNull(listening, "listening must not be null");
		Objects.requireNonNull(own, "own must not be null");
		services = Map.copyOf(services);
	}

	/**
	 * Returns what an agent knows when it starts.
	 * @param listening the agent, with the address that it listens on
	 * @return a state without services, never null
	 */
	public static KeyState starting(KeyHome listening) {
		return new KeyState(listening, listening, OptionalLong.empty(), Map.of());
	}

	KeyState withListConfirmedAt(long askedAtMillis) {
		long latest = Math.max(askedAtMillis, this.listConfirmedAtMillis.orElse(askedAtMillis));
		return new KeyState(this.listening, this.own, OptionalLong.of(latest), this.services);
	}

	KeyState withServices(Map<ServiceName, ServiceKeys> known) {
		return new KeyState(this.listening, this.own, this.listConfirmedAtMillis, known);
	}

	KeyState withOwn(KeyHome home) {
		return new KeyState(this.listening, home, this.listConfirmedAtMillis, this.services);
	}

}
