package org.catkingate.agent.requests;

import java.net.InetSocketAddress;
import java.util.Objects;

import org.catkingate.agent.runners.RunnerGate;

/**
 * Address at which a runner accepts requests, with the gate in front of it. Immutable;
 * the gate is safe for use by any thread.
 *
 * @param gate the gate
 * @param address the runner's HTTP address
 * @since 0.1
 */
public record RunnerEndpoint(RunnerGate gate, InetSocketAddress address) {

	public RunnerEndpoint {
		Objects.requireNonNull(gate, "gate must not be null");
		Objects.requireNonNull(address, "address must not be null");
	}

}
