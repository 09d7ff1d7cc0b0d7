package org.catkingate.soak;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import org.catkingate.standins.proxy.FaultInjectingProxy;

/**
 * A fault of a soak, injected from outside the processes.
 */
enum SoakFault {

	/** The link to a runner is slow. */
	RUNNER_LINK_DELAYED(
			(soak, random) -> runnerLink(soak, random, "--delay-ms 300 --jitter-ms 200", "--delay-ms 0 --jitter-ms 0")),

	/** The connections to a runner are reset. */
	RUNNER_LINK_RESET((soak, random) -> {
		SoakRunner runner = pick(soak.fleet().runners(), random);
		runner.reportDisturbance(soak.nowMillis());
		runner.proxy().resetConnections();
		return SoakFault::doNothing;
	}),

	/** Requests reach a runner and its responses are lost. */
	RUNNER_LINK_ONE_WAY(
			(soak, random) -> runnerLink(soak, random, "--discard-responses true", "--discard-responses false")),

	/** The open connections to a runner go silent. */
	RUNNER_LINK_SILENT((soak, random) -> {
		SoakRunner runner = pick(soak.fleet().runners(), random);
		runner.reportDisturbance(Long.MAX_VALUE);
		runner.proxy().silenceConnections();
		return () -> runner.reportDisturbance(soak.nowMillis());
	}),

	/** A runner is cut off. */
	RUNNER_LINK_CUT((soak, random) -> runnerLink(soak, random, "--blackhole true", "--blackhole false")),

	/** A process reaches the registry late. */
	REGISTRY_LINK_DELAYED(
			(soak, random) -> configure(pick(soak.fleet().registryLinks(), random), "--delay-ms 400", "--delay-ms 0")),

	/** A process is cut off from the registry. */
	REGISTRY_LINK_CUT((soak, random) -> configure(pick(soak.fleet().registryLinks(), random), "--blackhole true",
			"--blackhole false")),

	/** The registry refuses a process. */
	REGISTRY_LINK_REFUSED((soak, random) -> {
		FaultInjectingProxy link = pick(soak.fleet().registryLinks(), random);
		Recovery recovery = configure(link, "--refuse true", "--refuse false");
		link.resetConnections();
		return recovery;
	}),

	/** The responses of the registry to a process are lost. */
	REGISTRY_LINK_ONE_WAY((soak, random) -> configure(pick(soak.fleet().registryLinks(), random),
			"--discard-responses true", "--discard-responses false")),

	/** The registry refuses all calls. */
	REGISTRY_DOWN((soak, random) -> registry(soak, RegistryStandIn.Availability.DOWN)),

	/** The registry is slow. */
	REGISTRY_SLOW((soak, random) -> registry(soak, RegistryStandIn.Availability.SLOW)),

	/** Responses of the registry are lost. */
	REGISTRY_LOSING_RESPONSES((soak, random) -> registry(soak, RegistryStandIn.Availability.LOSING_RESPONSES)),

	/** The registry forgets its history. */
	REGISTRY_WITHOUT_HISTORY((soak, random) -> {
		soak.fleet().registry().forgetHistory();
		return SoakFault::doNothing;
	}),

	/** The registry goes down and comes back from the copy made when it went. */
	REGISTRY_OLDER_COPY((soak, random) -> {
		RegistryStandIn.Copy copy = soak.fleet().registry().copy();
		return () -> {
			Recovery recovery = registry(soak, RegistryStandIn.Availability.DOWN);
			soak.fleet().operator().restore(copy);
			recovery.recover();
			soak.fleet().runners().forEach(SoakRunner::register);
		};
	}),

	/** A gateway is shut down in an orderly way and started again. */
	GATEWAY_TERMINATED((soak, random) -> terminate(soak, pick(soak.fleet().gateways(), random))),

	/** A gateway is told to shut down several times, with changes in between. */
	GATEWAY_TERMINATED_REPEATEDLY(
			(soak, random) -> terminateRepeatedly(soak, pick(soak.fleet().gateways(), random), random)),

	/** A gateway is shut down and started again, twice in a row. */
	GATEWAY_TERMINATED_TWICE((soak, random) -> terminateTwice(soak, pick(soak.fleet().gateways(), random), random)),

	/** A gateway is killed and started again. */
	GATEWAY_KILLED((soak, random) -> {
		SoakProcess gateway = pick(soak.fleet().gateways(), random);
		soak.judge().gatewayKilled(gateway.boot());
		return kill(gateway);
	}),

	/** All gateways are killed at the same moment and started again. */
	ALL_GATEWAYS_KILLED((soak, random) -> {
		soak.fleet().gateways().forEach((gateway) -> {
			soak.judge().gatewayKilled(gateway.boot());
			gateway.kill();
		});
		return () -> {
			for (SoakProcess gateway : soak.fleet().gateways()) {
				gateway.startUnlessAlive();
			}
		};
	}),

	/** All gateways are shut down one after the other. */
	ALL_GATEWAYS_TERMINATED((soak, random) -> {
		for (SoakProcess gateway : soak.fleet().gateways()) {
			terminate(soak, gateway).recover();
		}
		return SoakFault::doNothing;
	}),

	/** A gateway is suspended. */
	GATEWAY_SUSPENDED((soak, random) -> {
		SoakProcess gateway = pick(soak.fleet().gateways(), random);
		String boot = gateway.boot();
		soak.judge().gatewaySuspended(boot, Long.MAX_VALUE);
		gateway.suspend();
		return () -> {
			gateway.resume();
			soak.judge().gatewaySuspended(boot, soak.nowMillis());
		};
	}),

	/** The settings file of a gateway changes, and it is told so by a signal. */
	GATEWAY_SETTINGS_CHANGED((soak, random) -> {
		int index = random.nextInt(soak.fleet().gateways().size());
		SoakProcess gateway = soak.fleet().gateways().get(index);
		gateway.writeSettings(soak.fleet().gatewaySettings(index, 50 + random.nextInt(100)));
		gateway.hangUp();
		// the signal ends a process that has just begun to start
		return gateway::startUnlessAlive;
	}),

	/** A loader is shut down in an orderly way and started again. */
	LOADER_TERMINATED((soak, random) -> terminate(soak, pick(soak.fleet().loaders(), random))),

	/** A loader is killed and started again. */
	LOADER_KILLED((soak, random) -> kill(pick(soak.fleet().loaders(), random))),

	/** A loader is suspended. */
	LOADER_SUSPENDED((soak, random) -> {
		SoakProcess loader = pick(soak.fleet().loaders(), random);
		loader.suspend();
		return loader::resume;
	}),

	/** A runner crashes, and another starts in its place. */
	RUNNER_CRASHED((soak, random) -> {
		SoakRunner runner = pick(soak.fleet().runners(), random);
		runner.crash();
		return runner::restart;
	}),

	/** A runner leaves as announced, and another starts in its place. */
	RUNNER_LEAVES((soak, random) -> leave(pick(soak.fleet().runners(), random), true)),

	/** A runner leaves and announces it in its responses only. */
	RUNNER_LEAVES_UNREGISTERED((soak, random) -> leave(pick(soak.fleet().runners(), random), false)),

	/** A runner misbehaves. */
	RUNNER_MISBEHAVES((soak, random) -> {
		SoakRunner runner = pick(soak.fleet().runners(), random);
		runner.behave(pick(List.of(RunnerBehaviour.values()), random));
		return () -> runner.behave(RunnerBehaviour.SOUND);
	}),

	/** A runner asks to be left alone. */
	RUNNER_BUSY((soak, random) -> {
		SoakRunner runner = pick(soak.fleet().runners(), random);
		runner.behave(RunnerBehaviour.BUSY);
		return () -> runner.behave(RunnerBehaviour.SOUND);
	}),

	/** A staged piece of the weights goes bad. */
	STAGED_PIECE_SPOILT((soak, random) -> {
		ModelWeights weights = pick(soak.fleet().runners(), random).weights();
		if (weights != null) {
			weights.spoil(random.nextInt(ModelWeights.PIECE_COUNT));
		}
		return SoakFault::doNothing;
	}),

	/** The origin sends wrong pieces and breaks off. */
	ORIGIN_FAULTY((soak, random) -> {
		soak.fleet().origin().beFaulty(true);
		return () -> soak.fleet().origin().beFaulty(false);
	}),

	/** New weights are declared. */
	WEIGHTS_DECLARED((soak, random) -> {
		soak.fleet().operator().declareNextWeights();
		return SoakFault::doNothing;
	}),

	/** The configuration changes. */
	CONFIGURATION_CHANGED((soak, random) -> {
		soak.fleet().operator().publish();
		return SoakFault::doNothing;
	}),

	/** Configurations follow each other quickly. */
	CONFIGURATION_STORM((soak, random) -> {
		for (int i = 0; i < 5; i++) {
			soak.fleet().operator().publish();
		}
		return SoakFault::doNothing;
	}),

	/** A route or an account allows other regions. */
	RESIDENCY_CHANGED((soak, random) -> {
		Set<String> regions = pick(List.of(Set.of(), Set.of("r"), Set.of("s")), random);
		soak.fleet().operator().restrict(random.nextInt(100), regions);
		return SoakFault::doNothing;
	}),

	/** A data centre is evacuated, for longer than the time that it takes effect in. */
	DATA_CENTRE_EVACUATED((soak, random) -> {
		String dataCentre = pick(SoakOperator.REGIONS.keySet().stream().sorted().toList(), random);
		soak.fleet().operator().evacuate(dataCentre);
		return () -> {
			Thread.sleep(Judge.WITHDRAWAL_LIMIT_MILLIS);
			soak.fleet().operator().takeBack(dataCentre);
		};
	}),

	/** A warm runner turns cold. */
	RUNNER_TURNS_COLD((soak, random) -> {
		pick(soak.fleet().runners(), random).turnCold();
		return SoakFault::doNothing;
	}),

	/** A key is withdrawn. */
	KEY_WITHDRAWN((soak, random) -> {
		soak.fleet().operator().replaceKey(random.nextInt(100));
		return SoakFault::doNothing;
	});

	private static final int REPEATED_SIGNALS = 4;

	private static final int MAX_SIGNAL_GAP_MILLIS = 400;

	/** The time until a gateway that was started serves requests. */
	private static final int READY_MILLIS = 1500;

	private final Injection injection;

	SoakFault(Injection injection) {
		this.injection = injection;
	}

	/**
	 * Injects the fault.
	 * @return the recovery from it
	 */
	Recovery inject(Soak soak, SplittableRandom random) throws Exception {
		return this.injection.inject(soak, random);
	}

	private static <T> T pick(List<T> candidates, SplittableRandom random) {
		return candidates.get(random.nextInt(candidates.size()));
	}

	private static void doNothing() {
	}

	private static Recovery configure(FaultInjectingProxy proxy, String faultOptions, String recoveryOptions) {
		proxy.configure(faultOptions.split(" "));
		return () -> proxy.configure(recoveryOptions.split(" "));
	}

	private static Recovery runnerLink(Soak soak, SplittableRandom random, String faultOptions,
			String recoveryOptions) {
		SoakRunner runner = pick(soak.fleet().runners(), random);
		runner.reportDisturbance(Long.MAX_VALUE);
		Recovery recovery = configure(runner.proxy(), faultOptions, recoveryOptions);
		return () -> {
			recovery.recover();
			runner.reportDisturbance(soak.nowMillis());
		};
	}

	private static Recovery registry(Soak soak, RegistryStandIn.Availability availability) {
		soak.fleet().registry().changeAvailability(availability);
		return () -> soak.fleet().registry().changeAvailability(RegistryStandIn.Availability.UP);
	}

	private static Recovery leave(SoakRunner runner, boolean inRegistry) {
		RunnerStandIn leaving = runner.runner();
		runner.leave(inRegistry);
		return () -> {
			if (runner.runner() == leaving) {
				runner.crash();
				runner.restart();
			}
		};
	}

	private static Recovery kill(SoakProcess process) {
		process.kill();
		return process::startUnlessAlive;
	}

	private static Recovery terminate(Soak soak, SoakProcess process) {
		soak.judge().gatewayTerminated(process.boot(), soak.nowMillis());
		int boot = process.terminate();
		return () -> process.awaitEndAndStart(boot);
	}

	private static Recovery terminateRepeatedly(Soak soak, SoakProcess gateway, SplittableRandom random)
			throws InterruptedException {
		soak.judge().gatewayTerminated(gateway.boot(), soak.nowMillis());
		int boot = gateway.terminate();
		for (int i = 0; i < REPEATED_SIGNALS; i++) {
			Thread.sleep(random.nextInt(MAX_SIGNAL_GAP_MILLIS));
			gateway.signalAgain(boot, random.nextBoolean());
			soak.fleet().operator().publish();
		}
		return () -> gateway.awaitEndAndStart(boot);
	}

	private static Recovery terminateTwice(Soak soak, SoakProcess gateway, SplittableRandom random) {
		Recovery first = terminate(soak, gateway);
		return () -> {
			first.recover();
			Thread.sleep(READY_MILLIS + random.nextInt(READY_MILLIS));
			terminate(soak, gateway).recover();
		};
	}

	/**
	 * The injection of a fault.
	 */
	@FunctionalInterface
	interface Injection {

		Recovery inject(Soak soak, SplittableRandom random) throws Exception;

	}

	/**
	 * The recovery from a fault.
	 */
	@FunctionalInterface
	interface Recovery {

		void recover() throws Exception;

	}

}
