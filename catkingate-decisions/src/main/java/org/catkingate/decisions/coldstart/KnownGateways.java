package org.catkingate.decisions.coldstart;

import java.util.Collection;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

import org.catkingate.decisions.RendezvousHashing;
import org.catkingate.model.InstanceId;
import org.catkingate.model.prompts.RunnerStart;

/**
 * The gateways that this one has ever known, and its part of the requests that all of
 * them together may send to a cold runner. Gateways are never removed, so that parts do
 * not grow while some cannot reach each other. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class KnownGateways {

	/** The maximum number of gateways, which bounds the memory for their names. */
	public static final int MAX_GATEWAYS = 1000;

	/**
	 * The time between two contacts to most seeds before the first request to a cold
	 * runner. Gateways that start together connect to the seeds in it, the others learn
	 * of this one and reduce their parts, and what this one sent before a restart is more
	 * than a second ago.
	 */
	static final long SETTLING_MILLIS = 2000;

	/**
	 * The number of gateways that may join while a known one cannot be told. Their part
	 * is left unused.
	 */
	private static final int RESERVED_GATEWAYS = 2;

	/** The maximum fraction that is left unused for gateways that may join. */
	private static final double MAX_RESERVED_FRACTION = 0.25;

	private final Set<InstanceId> names = new TreeSet<>();

	/** The seeds heard since the start. */
	private final Set<InstanceId> heardSeeds = new HashSet<>();

	/** The seeds heard after the settling time. */
	private final Set<InstanceId> confirmingSeeds = new HashSet<>();

	private final InstanceId self;

	private final int seeds;

	private final boolean isSeed;

	/** When the settling time ends, once there was contact to most seeds. */
	private long settlingUntilMillis = Long.MAX_VALUE;

	/**
	 * Creates an instance that knows this gateway only.
	 * @param self this gateway
	 * @param seeds the number of seeds, including this gateway if it is one; 0 if this
	 * gateway is alone
	 * @param isSeed whether this gateway is a seed
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public KnownGateways(InstanceId self, int seeds, boolean isSeed, long nowMillis) {
		this.self = Objects.requireNonNull(self, "self must not be null");
		this.seeds = seeds;
		this.isSeed = isSeed;
		this.names.add(self);
		if (isSeed) {
			this.confirmingSeeds.add(self);
			hear(self, nowMillis);
		}
		else if (seeds == 0) {
			this.settlingUntilMillis = nowMillis + SETTLING_MILLIS;
		}
	}

	/**
	 * Adds gateways.
	 * @param gateways their names
	 * @return whether one of them was not known
	 */
	public boolean add(Collection<InstanceId> gateways) {
		boolean added = false;
		for (InstanceId gateway : gateways) {
			added |= this.names.size() < MAX_GATEWAYS && this.names.add(gateway);
		}
		return added;
	}

	/**
	 * Adds the gateways that a seed knows.
	 * @param seed the seed
	 * @param gateways their names
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether one of them was not known
	 */
	public boolean addFromSeed(InstanceId seed, Collection<InstanceId> gateways, long nowMillis) {
		hear(seed, nowMillis);
		return add(gateways);
	}

	private void hear(InstanceId seed, long nowMillis) {
		this.heardSeeds.add(seed);
		if (this.settlingUntilMillis == Long.MAX_VALUE && areMost(this.heardSeeds)) {
			this.settlingUntilMillis = nowMillis + SETTLING_MILLIS;
		}
		else if (nowMillis >= this.settlingUntilMillis) {
			this.confirmingSeeds.add(seed);
		}
	}

	/*
	 * Two groups of gateways that cannot reach each other do not both contain most seeds,
	 * so only one of them starts to send on the basis of its own number.
	 */
	private boolean areMost(Set<InstanceId> heard) {
		return this.seeds == 0 || 2 * heard.size() > this.seeds;
	}

	/**
	 * Returns whether enough is known of the other gateways to send to cold runners.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether most seeds were heard before and after the settling time
	 */
	public boolean isSettled(long nowMillis) {
		return nowMillis >= this.settlingUntilMillis && areMost(this.confirmingSeeds);
	}

	/**
	 * Returns whether this gateway is a seed.
	 * @return whether other gateways settle by its statements
	 */
	public boolean isSeed() {
		return this.isSeed;
	}

	/**
	 * Returns the gateways.
	 * @return all that were ever known, including this one
	 */
	public Set<InstanceId> names() {
		return Set.copyOf(this.names);
	}

	int count() {
		return this.names.size();
	}

	/**
	 * Returns this gateway's part of the requests that a cold runner may get. The whole
	 * requests are divided evenly. Rendezvous hashing selects for each runner the
	 * gateways that get one of the rest, so that all of them send to some runners if
	 * there are more gateways than requests.
	 * @param runner the runner
	 * @param allowance the requests from all gateways together
	 * @return the number of requests
	 */
	int part(RunnerStart runner, double allowance) {
		int whole = (int) Math.min(Integer.MAX_VALUE / 2, Math.floor(allowance));
		int shared = whole - reserved(whole);
		int rest = shared % this.names.size();
		return shared / this.names.size() + ((rest > 0 && rank(runner) < rest) ? 1 : 0);
	}

	private int reserved(int whole) {
		if (this.seeds == 0) {
			return 0;
		}
		int slots = this.names.size() + RESERVED_GATEWAYS;
		return Math.min(RESERVED_GATEWAYS * ((whole + slots - 1) / slots), (int) (MAX_RESERVED_FRACTION * whole));
	}

	private int rank(RunnerStart runner) {
		return RendezvousHashing.rank(RendezvousHashing.hash(runner.toString()), this.names, this.names.size())
			.indexOf(this.self);
	}

}
