package org.catkingate.tests.faults;

import java.util.List;
import java.util.SplittableRandom;

import org.catkingate.standins.StandIn;
import org.catkingate.standins.plain.Plain;
import org.catkingate.tests.harness.ChildProcess;
import org.catkingate.tests.harness.Member;

/**
 * A fault that a test can force, and how it is healed.
 */
public enum Fault {

	/** The connections to an agent go silent for good; new ones work. */
	SILENT_CONNECTIONS((fleet, random) -> {
		pick(fleet.agents(), random).proxy().silence();
		return Fault::doNothing;
	}),

	/** The connections to an agent are reset. */
	CUT_CONNECTIONS((fleet, random) -> {
		pick(fleet.agents(), random).proxy().cut();
		return Fault::doNothing;
	}),

	/** The link to an agent delays and loses. */
	POOR_LINK((fleet, random) -> configure(pick(fleet.agents(), random).proxy(), "--delay-ms 5 --loss-percent 20",
			"--delay-ms 0 --loss-percent 0")),

	/** The link to an agent changes bytes. */
	CORRUPT_LINK((fleet, random) -> configure(pick(fleet.agents(), random).proxy(), "--corrupt-percent 5",
			"--corrupt-percent 0")),

	/** An agent is cut off; what was sent arrives late. */
	STALLED_LINK((fleet, random) -> configure(pick(fleet.agents(), random).proxy(), "--hold true", "--hold false")),

	/** An agent is cut off; what was sent is lost. */
	PARTITION((fleet, random) -> configure(pick(fleet.agents(), random).proxy(), "--blackhole true",
			"--blackhole false")),

	/** An agent is paused and woken. */
	FROZEN_AGENT((fleet, random) -> freeze(pick(fleet.agents(), random).process())),

	/** An agent is killed and replaced. */
	KILLED_AGENT((fleet, random) -> kill(pick(fleet.agents(), random))),

	/** An agent is asked to end and is replaced. */
	LEAVING_AGENT((fleet, random) -> terminate(pick(fleet.agents(), random))),

	/** An entry is paused and woken. */
	FROZEN_ENTRY((fleet, random) -> freeze(pick(fleet.entries(), random).process())),

	/** An entry is killed and replaced. */
	KILLED_ENTRY((fleet, random) -> kill(pick(fleet.entries(), random))),

	/** An engine is paused and woken. */
	FROZEN_ENGINE((fleet, random) -> freeze(pick(fleet.engines(), random).standIn().process())),

	/** An engine is killed and comes back without weights. */
	KILLED_ENGINE((fleet, random) -> {
		EngineProcess engine = pick(fleet.engines(), random);
		engine.kill();
		return engine::restart;
	}),

	/** A plain service runs calls and closes without an answer. */
	DYING_SERVICE((fleet, random) -> {
		Plain shop = pick(fleet.shops(), random);
		return configure(shop, "--die-after-run true", "--die-after-run false");
	}),

	/** The platform is down. */
	PLATFORM_DOWN((fleet, random) -> configure(fleet.fleet().platform(), "--down true", "--down false")),

	/** The configuration service is stale, and restarted processes meet it so. */
	PLATFORM_STALE((fleet, random) -> {
		long index = fleet.fleet().platform().index();
		fleet.publish();
		return configure(fleet.fleet().platform(), "--serve-index " + index, "--serve-index -1");
	}),

	/**
	 * A new version is published while the origin corrupts a chunk of it now and then.
	 */
	CORRUPT_ORIGIN((fleet, random) -> {
		Recovery heal = configure(fleet.fleet().origin(), "--corrupt-chunk 3 --corrupt-times 3", "--corrupt-chunk -1");
		fleet.publishNextVersion();
		return heal;
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
	 * Forces the fault.
	 * @return how to heal it
	 */
	public Recovery inject(ServingFleet fleet, SplittableRandom random) throws Exception {
		return this.injection.inject(fleet, random);
	}

	private static <T> T pick(List<T> all, SplittableRandom random) {
		return all.get(random.nextInt(all.size()));
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
	 * Forces a fault.
	 */
	@FunctionalInterface
	interface Injection {

		Recovery inject(ServingFleet fleet, SplittableRandom random) throws Exception;

	}

	/**
	 * Heals a fault.
	 */
	@FunctionalInterface
	public interface Recovery {

		void recover() throws Exception;

	}

}
