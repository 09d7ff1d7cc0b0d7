package org.catkingate.decisions;

/**
 * A pure function from a state and an event to the next state and its effects.
 * Implementations read no clock, do no I/O and draw no random numbers.
 *
 * @param <S> the type of state
 * @since 0.1
 */
@FunctionalInterface
public interface Reducer<S> {

	/**
	 * Computes the next state and the effects of one event.
	 * @param state the state before the event
	 * @param nowMillis the monotonic time of the event, in milliseconds
	 * @param event the event
	 * @return the state after the event and its effects, never null
	 */
	ReductionResult<S> reduce(S state, long nowMillis, Event event);

}
