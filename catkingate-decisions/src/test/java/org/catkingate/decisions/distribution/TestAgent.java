package org.catkingate.decisions.distribution;

import java.util.ArrayList;
import java.util.List;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.model.Digest;

/**
 * The state of one agent's distribution, with the effects of the events applied to it.
 * Not safe for use by several threads.
 */
final class TestAgent {

	private static final long TICK_INTERVAL_MILLIS = 20;

	DistributionState state;

	long now = 1000;

	final List<Effect> effects = new ArrayList<>();

	TestAgent(DistributionSettings settings) {
		this.state = DistributionState.initial(settings);
	}

	List<Effect> apply(DistributionEvent event) {
		ReductionResult<DistributionState> result = DistributionReducer.create().reduce(this.state, this.now, event);
		this.state = result.state();
		this.effects.addAll(result.effects());
		return result.effects();
	}

	List<Effect> advance(long millis) {
		int from = this.effects.size();
		long end = this.now + millis;
		while (this.now < end) {
			this.now = Math.min(end, this.now + TICK_INTERVAL_MILLIS);
			apply(new DistributionEvent.Ticked());
		}
		return this.effects.subList(from, this.effects.size());
	}

	/**
	 * Delivers all slices that are requested from a source, until no more are requested.
	 * @param source the source
	 */
	void serve(Source source) {
		List<DistributionEffect.RequestSlice> outstanding = requests(this.effects, source);
		this.effects.clear();
		while (!outstanding.isEmpty()) {
			for (DistributionEffect.RequestSlice request : outstanding) {
				deliver(request);
			}
			outstanding = requests(this.effects, source);
			this.effects.clear();
		}
	}

	void deliver(DistributionEffect.RequestSlice request) {
		List<Effect> after = apply(new DistributionEvent.SliceArrived(request.source(), request.chunk(),
				request.offset(), request.length(), 1));
		for (Effect effect : List.copyOf(after)) {
			if (effect instanceof DistributionEffect.VerifyChunk verify) {
				apply(new DistributionEvent.ChunkVerified(verify.chunk()));
			}
		}
	}

	static List<DistributionEffect.RequestSlice> requests(List<? extends Effect> effects, Source source) {
		List<DistributionEffect.RequestSlice> found = new ArrayList<>();
		for (Effect effect : effects) {
			if (effect instanceof DistributionEffect.RequestSlice request && request.source().equals(source)) {
				found.add(request);
			}
		}
		return found;
	}

	int countHeld(Digest manifest) {
		return this.state.chunksHeld(manifest).map(ChunkSet::count).orElse(0);
	}

}
