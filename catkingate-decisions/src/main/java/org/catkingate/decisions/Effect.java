package org.catkingate.decisions;

/**
 * An action that a reducer requests from the code around it, such as sending a message.
 * Effects are immutable records, grouped into sealed interfaces by subject.
 *
 * @since 0.1
 */
public interface Effect {

}
