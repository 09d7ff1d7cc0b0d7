package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;

/**
 * A network of agents whose messages are delayed, lost, duplicated or corrupted by a
 * seeded generator. Not safe for use by several threads.
 */
final class LossyNetwork {

	private static final long TICK_MILLIS = 50;

	private static final int MAX_DELAY_MILLIS = 200;

	private static final long SOURCE_TIMEOUT_MILLIS = 3000;

	private final Random random;

	private final double lossRate;

	private final Fixtures.Published published;

	private final TreeMap<InstanceId, DistributionState> states = new TreeMap<>();

	private final PriorityQueue<Delivery> queue = new PriorityQueue<>();

	private final Set<String> verified = new HashSet<>();

	private long now = 1000;

	private long scheduledCount;

	LossyNetwork(long seed, double lossRate, List<InstanceLocation> members, Fixtures.Published published) {
		this.random = new Random(seed);
		this.lossRate = lossRate;
		this.published = published;
		for (InstanceLocation member : members) {
			DistributionSettings settings = Fixtures.settings(member, SourcePreference.ORIGIN_BYTES,
					Fixtures.AMPLE_BYTES, false);
			this.states.put(member.instance(), DistributionState.initial(settings));
		}
		for (InstanceLocation member : members) {
			reduce(member.instance(), new DistributionEvent.FleetChanged(Fixtures.fleet(members, published.version())));
		}
	}

	boolean runUntilComplete(long millis) {
		long end = this.now + millis;
		while (this.now < end && !isComplete()) {
			this.now += TICK_MILLIS;
			while (!this.queue.isEmpty() && this.queue.peek().atMillis() <= this.now) {
				Delivery delivery = this.queue.poll();
				reduce(delivery.to(), delivery.event());
			}
			List.copyOf(this.states.keySet()).forEach((id) -> reduce(id, new DistributionEvent.Ticked()));
		}
		return isComplete();
	}

	private boolean isComplete() {
		return this.states.values().stream().allMatch((state) -> !state.isIncomplete());
	}

	/**
	 * Returns whether agents count only those chunks as held that were verified there.
	 * @return whether all held chunks have been verified
	 */
	boolean holdsOnlyVerifiedChunks() {
		boolean allVerified = true;
		for (InstanceId id : this.states.keySet()) {
			for (Digest chunk : this.states.get(id).held().keySet()) {
				allVerified &= this.verified.contains(id + " " + chunk);
			}
		}
		return allVerified;
	}

	private void reduce(InstanceId id, DistributionEvent event) {
		ReductionResult<DistributionState> result = DistributionReducer.create()
			.reduce(this.states.get(id), this.now, event);
		this.states.put(id, result.state());
		List<Effect> effects = new ArrayList<>(result.effects());
		effects.forEach((effect) -> execute(id, effect));
	}

	private void execute(InstanceId id, Effect effect) {
		if (effect instanceof DistributionEffect.FetchManifest fetch) {
			DistributionEvent arrived = new DistributionEvent.ManifestArrived(fetch.digest(),
					this.published.manifest());
			deliver(id, arrived, new DistributionEvent.ManifestFailed(fetch.digest(), fetch.source(), false, 0));
		}
		else if (effect instanceof DistributionEffect.Announce announce) {
			deliver(announce.peer(), new DistributionEvent.PeerAnnounced(id, announce.manifest(), announce.chunks()),
					null);
		}
		else if (effect instanceof DistributionEffect.RequestSlice request) {
			deliver(id, respond(request), new DistributionEvent.SliceFailed(request.source(), request.chunk()));
		}
		else if (effect instanceof DistributionEffect.VerifyChunk verify) {
			verify(id, verify.chunk());
		}
	}

	private DistributionEvent respond(DistributionEffect.RequestSlice request) {
		DistributionEvent slice = new DistributionEvent.SliceArrived(request.source(), request.chunk(),
				request.offset(), request.length(), MAX_DELAY_MILLIS);
		if (!(request.source() instanceof Source.Peer peer)) {
			return slice;
		}
		DistributionState state = this.states.get(peer.instance());
		boolean wanted = state.manifestContaining(request.chunk()).isPresent();
		return state.held().containsKey(request.chunk()) ? slice
				: new DistributionEvent.SliceRejected(request.source(), request.chunk(), wanted ? 100 : 0);
	}

	private void verify(InstanceId id, Digest chunk) {
		if (this.random.nextDouble() < this.lossRate) {
			schedule(id, new DistributionEvent.ChunkCorrupt(chunk), 1);
			return;
		}
		this.verified.add(id + " " + chunk);
		schedule(id, new DistributionEvent.ChunkVerified(chunk), 1);
	}

	/**
	 * Delivers an event with a delay, delivers it twice, or loses it.
	 * @param to the agent
	 * @param event the event
	 * @param eventIfLost the event that the agent receives after a timeout if this one is
	 * lost; null for none
	 */
	private void deliver(InstanceId to, DistributionEvent event, DistributionEvent eventIfLost) {
		double chance = this.random.nextDouble();
		if (chance < this.lossRate) {
			if (eventIfLost != null && this.random.nextBoolean()) {
				schedule(to, eventIfLost, SOURCE_TIMEOUT_MILLIS);
			}
			return;
		}
		schedule(to, event, 1 + this.random.nextInt(MAX_DELAY_MILLIS));
		if (chance > 1 - this.lossRate) {
			schedule(to, event, 1 + this.random.nextInt(MAX_DELAY_MILLIS));
		}
	}

	private void schedule(InstanceId to, DistributionEvent event, long delay) {
		this.queue.add(new Delivery(this.now + delay, this.scheduledCount++, to, event));
	}

	private record Delivery(long atMillis, long sequenceNumber, InstanceId to,
			DistributionEvent event) implements Comparable<Delivery> {

		@Override
		public int compareTo(Delivery other) {
			int byTime = Long.compare(this.atMillis, other.atMillis);
			return (byTime != 0) ? byTime : Long.compare(this.sequenceNumber, other.sequenceNumber);
		}

	}

}
