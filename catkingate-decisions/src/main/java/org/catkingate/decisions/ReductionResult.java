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
public record ReductionResult<S>(S state, List<Effect> effects) {

	public ReductionResult {
		Objects.requireNonNull(state, "state must not be null");
		effects = List.copyOf(effects);
	}

	/**
	 * Creates a result without effects.
	 * @param <S> the type of state
	 * @param state the state
	 * @return the result, never null
	 */
	public static <S> ReductionResult<S> of(S state) {
		return new ReductionResult<>(state, List.of());
	}

	/**
	 * Returns a result with further effects after those of this result.
	 * @param added the effects to add
	 * @return the extended result, never null
	 */
	public ReductionResult<S> withEffects(List<? extends Effect> added) {
		List<Effect> all = new ArrayList<>(this.effects);
		all.addAll(added);
		return new ReductionResult<>(this.state, all);
	}

}
