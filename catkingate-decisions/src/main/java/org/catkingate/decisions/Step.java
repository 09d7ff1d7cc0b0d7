package org.catkingate.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * The result of reducing one event: the next state and the effects. Immutable if the
 * state is.
 *
 * @param <S> the type of state
 * @param state the state after the event
 * @param effects the effects to carry out, in order
 * @since 0.1
 */
public record Step<S>(S state, List<Effect> effects) {

	public Step {
		Objects.requireNonNull(state, "state must not be null");
		effects = List.copyOf(effects);
	}

	/**
	 * Creates a step without effects.
	 * @param <S> the type of state
	 * @param state the state
	 * @return the step, never null
	 */
	public static <S> Step<S> of(S state) {
		return new Step<>(state, List.of());
	}

	/**
	 * Returns a step with further effects after those of this step.
	 * @param added the effects to add
	 * @return the extended step, never null
	 */
	public Step<S> withEffects(List<? extends Effect> added) {
		List<Effect> all = new ArrayList<>(this.effects);
		all.addAll(added);
		return new Step<>(this.state, all);
	}

}
