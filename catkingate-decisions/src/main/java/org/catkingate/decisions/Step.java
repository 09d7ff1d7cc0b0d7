package org.catkingate.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * The outcome of reducing one event. Immutable if the state is.
 *
 * @param <S> the type of state
 * @param state the state after the event
 * @param effects what is to be done, in order
 * @since 0.1
 */
public record Step<S>(S state, List<Effect> effects) {

	public Step {
		Objects.requireNonNull(state, "state must not be null");
		effects = List.copyOf(effects);
	}

	/**
	 * A step without effects.
	 * @param <S> the type of state
	 * @param state the state
	 * @return the step, never null
	 */
	public static <S> Step<S> to(S state) {
		return new Step<>(state, List.of());
	}

	/**
	 * Adds effects behind those of this step.
	 * @param more the effects to add
	 * @return the longer step, never null
	 */
	public Step<S> with(List<? extends Effect> more) {
		List<Effect> all = new ArrayList<>(this.effects);
		all.addAll(more);
		return new Step<>(this.state, all);
	}

}
