package org.catkingate.soak;

import java.io.IOException;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkingate.standins.Addresses;
import org.catkingate.standins.HttpService;
import org.catkingate.standins.proxy.FaultInjectingProxy;

/**
 * A place for a runner: the address of a proxy behind which boots of runners follow each
 * other, and their registration. Safe for use by any thread.
 */
final class SoakRunner implements AutoCloseable {

	private static final String RUNNERS_PREFIX = "servers/";

	/** The time for which a runner is cold after its start. */
	static final long COLD_MILLIS = 3000;

	private final String name;

	private final String service;

	private final String dataCentre;

	private final RegistryStandIn registry;

	private final Judge judge;

	private final SoakClock clock;

	private final FaultInjectingProxy proxy;

	private RunnerStandIn runner;

	private ModelWeights weights;

	private boolean leaving;

	private int boots;

	private long bornAtEpochMillis;

	private long heartbeats;

	private long coldUntilMillis;

	SoakRunner(String name, String service, String dataCentre, RegistryStandIn registry, Judge judge, SoakClock clock)
			throws IOException {
		this.dataCentre = dataCentre;
		this.name = name;
		this.service = service;
		this.registry = registry;
		this.judge = judge;
		this.clock = clock;
		this.proxy = FaultInjectingProxy.start("--target", Addresses.format(registry.address()), "--refuse", "true");
		restart();
	}

	FaultInjectingProxy proxy() {
		return this.proxy;
	}

	String service() {
		return this.service;
	}

	String dataCentre() {
		return this.dataCentre;
	}

	synchronized RunnerStandIn runner() {
		return this.runner;
	}

	/**
	 * Returns the weights of the current boot, null if it is not a model runner.
	 */
	synchronized ModelWeights weights() {
		return this.weights;
	}

	/**
	 * Resets all connections and ends the runner, which says nothing about it.
	 */
	synchronized void crash() {
		if (this.runner != null) {
			this.judge.runnerCrashed(this.runner.id());
			this.proxy.configure("--refuse", "true");
			this.proxy.resetConnections();
			this.runner.close();
			this.runner = null;
		}
	}

	/**
	 * Starts a runner under a new identifier, which registers itself, unless one runs.
	 */
	synchronized void restart() throws IOException {
		if (this.runner != null) {
			return;
		}
		this.boots++;
		this.weights = this.service.equals(RequestKind.GENERATION.service()) ? new ModelWeights(this.clock) : null;
		this.leaving = false;
		this.bornAtEpochMillis = System.currentTimeMillis();
		this.runner = new RunnerStandIn(this.name + "-" + this.boots, this.service, this.weights, this.judge,
				this.clock);
		this.judge.runnerStarted(this.runner.id(), this.dataCentre);
		this.proxy.changeTarget(this.runner.address());
		this.proxy.configure("--refuse", "false");
		turnCold();
	}

	/**
	 * Makes the runner cold, as after a start, which its registration shows. Model
	 * runners are never cold.
	 */
	synchronized void turnCold() {
		if (this.runner != null && this.weights == null) {
			this.coldUntilMillis = this.clock.millis() + COLD_MILLIS;
			this.judge.runnerCold(this.runner.id(), this.coldUntilMillis);
		}
		register();
	}

	private String key(int boot) {
		return RUNNERS_PREFIX + this.name + "-" + boot;
	}

	/**
	 * Writes the registration again, as runners do at an interval.
	 */
	synchronized void register() {
		if (this.runner == null) {
			return;
		}
		this.heartbeats++;
		ObjectNode json = HttpService.JSON.createObjectNode()
			.put("Service", this.service)
			.put("Address", Addresses.format(this.proxy.address()))
			.put("Zone", this.dataCentre)
			.put("Version", "v1")
			.put("Slots", RunnerStandIn.SLOTS)
			.put("State", this.leaving ? "draining" : "ready")
			.put("ColdLeftMs", Math.max(0, this.coldUntilMillis - this.clock.millis()))
			.put("Phase", "both")
			.put("born", this.bornAtEpochMillis)
			.put("Seq", this.heartbeats);
		if (this.weights != null) {
			json.set("Models", this.weights.models());
		}
		this.registry.put(key(this.boots), json);
		// an older copy of the registry may contain earlier boots
		for (int boot = 1; boot < this.boots; boot++) {
			this.registry.delete(key(boot));
		}
	}

	/**
	 * Announces that the runner leaves.
	 * @param inRegistry whether the registry shows it as well as its responses
	 */
	synchronized void leave(boolean inRegistry) {
		if (this.runner != null) {
			this.leaving = inRegistry;
			this.runner.leave();
			register();
		}
	}

	synchronized void behave(RunnerBehaviour behaviour) {
		if (this.runner != null) {
			this.runner.behave(behaviour);
		}
	}

	/**
	 * Reports to the judge that the link to the current boot is disturbed.
	 */
	synchronized void reportDisturbance(long untilMillis) {
		this.judge.runnerLinkDisturbed(this.name + "-" + this.boots, untilMillis);
	}

	@Override
	public void close() {
		crash();
		this.proxy.close();
	}

}
