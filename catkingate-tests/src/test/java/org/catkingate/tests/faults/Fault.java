package org.catkingate.tests.faults;

import java.util.List;
import java.util.SplittableRandom;

import org.catkingate.standins.StandIn;
import org.catkingate.standins.plain.PlainService;
import org.catkingate.tests.harness.ChildProcess;
import org.catkingate.tests.harness.Member;

/**
 * A fault that a test can inject and recover from.
 */
public enum Fault {

	/** The open connections to an agent go silent permanently; new ones work. */
	SILENT_CONNECTIONS((fleet, random) -> {
		pick(fleet.agents(), random).proxy().silenceConnections();
		return Fault::doNothing;
	}),

	/** The connections to an agent are reset. */
	CUT_CONNECTIONS((fleet, random) -> {
		pick(fleet.agents(), random).proxy().resetConnections();
		return Fault::doNothing;
	}),

	/** The link to an agent has delay and loss. */
	POOR_LINK((fleet, random) -> configure(pick(fleet.agents(), random).proxy(), "--delay-ms 5 --loss-percent 20",
			"--delay-ms 0 --loss-percent 0")),

	/** The link to an agent corrupts bytes. */
	CORRUPT_LINK((fleet, random) -> configure(pick(fleet.agents(), random).proxy(), "--corrupt-percent 5",
			"--corrupt-percent 0")),

	/** The connections to an agent stall; their data arrives late. */
	STALLED_LINK((fleet, random) -> configure(pick(fleet.agents(), random).proxy(), "--hold true", "--hold false")),

	/** An agent is unreachable; data sent meanwhile is lost. */
	PARTITION((fleet, random) -> configure(pick(fleet.agents(), random).proxy(), "--blackhole true",
			"--blackhole false")),

	/** An agent is frozen and resumed. */
	FROZEN_AGENT((fleet, random) -> freeze(pick(fleet.agents(), random).process())),

	/** An agent is killed and restarted. */
	KILLED_AGENT((fleet, random) -> kill(pick(fleet.agents(), random))),

	/** An agent is shut down gracefully and restarted. */
	LEAVING_AGENT((fleet, random) -> terminate(pick(fleet.agents(), random))),

	/** An entry is frozen and resumed. */
	FROZEN_ENTRY((fleet, random) -> freeze(pick(fleet.entries(), random).process())),

	/** An entry is killed and restarted. */
	KILLED_ENTRY((fleet, random) -> kill(pick(fleet.entries(), random))),

	/** An engine is frozen and resumed. */
	FROZEN_ENGINE((fleet, random) -> freeze(pick(fleet.engines(), random).standIn().process())),

	/** An engine is killed and restarted without weights. */
	KILLED_ENGINE((fleet, random) -> {
		EngineProcess engine = pick(fleet.engines(), random);
		engine.kill();
		return engine::restart;
	}),

	/** A plain service runs calls and closes their connections without a response. */
	DYING_SERVICE((fleet, random) -> {
		PlainService shop = pick(fleet.shops(), random);
		return configure(shop, "--die-after-run true", "--die-after-run false");
	}),

	/** The platform is down. */
	PLATFORM_DOWN((fleet, random) -> configure(fleet.processes().platform(), "--down true", "--down false")),

	/**
	 * The configuration service serves a stale configuration, also to restarted
	 * processes.
	 */
	PLATFORM_STALE((fleet, random) -> {
		long index = fleet.processes().platform().index();
		fleet.publish();
		return configure(fleet.processes().platform(), "--serve-index " + index, "--serve-index -1");
	}),

	/**
	 * A new version is published while the origin corrupts one of its chunks several
	 * times.
	 */
	CORRUPT_ORIGIN((fleet, random) -> {
		Recovery recovery = configure(fleet.processes().origin(), "--corrupt-chunk 3 --corrupt-times 3",
				"--corrupt-chunk -1");
		fleet.publishNextVersion();
		return recovery;
	}),

	/** A new version is published. */
	VERSION_CHANGE((fleet, random) -> {
		fleet.publishNextVersion();
		return Fault::doNothing;
	});

	private final Injection injection;

	Fault(Injection injection) {
		this.injection = injection;
	}

	/**
	 * Injects the fault.
	 * @return the recovery from the fault
	 */
	public Recovery inject(ServingFleet fleet, SplittableRandom random) throws Exception {
		return this.injection.inject(fleet, random);
	}

	private static <T> T pick(List<T> candidates, SplittableRandom random) {
		return candidates.get(random.nextInt(candidates.size()));
	}

	private static void doNothing() {
	}

	private static Recovery configure(StandIn standIn, String faultOptions, String recoveryOptions) {
		standIn.configure(faultOptions.split(" "));
		return () -> standIn.configure(recoveryOptions.split(" "));
	}

	private static Recovery freeze(ChildProcess process) {
		process.freeze();
		return process::thaw;
	}

	private static Recovery kill(Member member) {
		member.process().kill();
		return member::restart;
	}

	private static Recovery terminate(Member member) {
		if (member.process().isAlive()) {
			member.process().terminate();
		}
		return () -> {
			member.process().awaitExit(ChildProcess.TIMEOUT);
			member.restart();
		};
	}

	/**
	 * The injection of a fault.
	 */
	@FunctionalInterface
	interface Injection {

		Recovery inject(ServingFleet fleet, SplittableRandom random) throws Exception;

	}

	/**
	 * The recovery from a fault.
	 */
	@FunctionalInterface
	public interface Recovery {

		void recover() throws Exception;

	}

}
