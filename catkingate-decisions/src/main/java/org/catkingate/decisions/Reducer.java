package org.catkingate.decisions;

/**
 * A pure function from a state and an event to the next state and its effects. It reads
 * no clock, does no I/O and draws no random numbers.
 *
 * @param <S> the type of state
 * @since 0.1
 */
@FunctionalInterface
public interface Reducer<S> {

	/**
	 * Reduces one event.
	 * @param state the state before
	 * @param nowMillis the monotonic time of the event, in milliseconds
	 * @param event the event
	 * @return the state after and the effects, never null
	 */
	Step<S> reduce(S state, long nowMillis, Event event);

}
