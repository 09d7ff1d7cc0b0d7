package org.catkingate.decisions.weights;

import java.util.ArrayList;
import java.util.List;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.Reducer;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.decisions.distribution.DistributionEffect;
import org.catkingate.decisions.distribution.DistributionEvent;
import org.catkingate.decisions.distribution.DistributionReducer;
import org.catkingate.decisions.distribution.DistributionState;
import org.catkingate.decisions.runners.RunnersEvent;
import org.catkingate.decisions.runners.RunnersReducer;
import org.catkingate.decisions.runners.RunnersState;

/**
 * The reducer of the distribution of weights and of the runners, which notifies the
 * runners of the progress of versions. Stateless and safe for use by any thread.
 *
 * @since 0.1
 */
public final class WeightsReducer implements Reducer<WeightsState> {

	private final Reducer<DistributionState> distribution = DistributionReducer.create();

	private final Reducer<RunnersState> runners = RunnersReducer.create();

	private WeightsReducer() {
	}

	/**
	 * Creates the reducer.
	 * @return the reducer, never null
	 */
	public static WeightsReducer create() {
		return new WeightsReducer();
	}

	@Override
	public ReductionResult<WeightsState> reduce(WeightsState state, long nowMillis, Event event) {
		if (event instanceof WeightsEvent.Ticked ticked) {
			return reduceBoth(state, nowMillis, new DistributionEvent.Ticked(),
					new RunnersEvent.Ticked(ticked.inProgress(), ticked.closed()));
		}
		if (event instanceof WeightsEvent.FleetChanged changed) {
			return reduceBoth(state, nowMillis, new DistributionEvent.FleetChanged(changed.fleet()),
					new RunnersEvent.FleetChanged(changed.fleet()));
		}
		return reduceBoth(state, nowMillis, event, event);
	}

	private ReductionResult<WeightsState> reduceBoth(WeightsState state, long now, Event forDistribution,
			Event forRunners) {
		ReductionResult<DistributionState> distributionResult = this.distribution.reduce(state.distribution(), now,
				forDistribution);
		List<Effect> effects = new ArrayList<>(distributionResult.effects());
		RunnersState runnersState = reduceRunners(state.runners(), now, forRunners, effects);
		for (Effect effect : distributionResult.effects()) {
			RunnersEvent runnersEvent = toRunnersEvent(effect);
			if (runnersEvent != null) {
				runnersState = reduceRunners(runnersState, now, runnersEvent, effects);
			}
		}
		return new ReductionResult<>(new WeightsState(distributionResult.state(), runnersState), effects);
	}

	private RunnersState reduceRunners(RunnersState state, long now, Event event, List<Effect> effects) {
		ReductionResult<RunnersState> result = this.runners.reduce(state, now, event);
		effects.addAll(result.effects());
		return result.state();
	}

	private static RunnersEvent toRunnersEvent(Effect effect) {
		if (effect instanceof DistributionEffect.VersionKnown known) {
			return new RunnersEvent.VersionKnown(known.version(), known.manifest());
		}
		if (effect instanceof DistributionEffect.VersionComplete complete) {
			return new RunnersEvent.VersionComplete(complete.version(), complete.manifest());
		}
		if (effect instanceof DistributionEffect.VersionDropped dropped) {
			return new RunnersEvent.VersionDropped(dropped.version().id());
		}
		return null;
	}

}
