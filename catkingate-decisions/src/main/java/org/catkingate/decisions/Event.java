package org.catkingate.decisions;

/**
 * An input of a reducer, such as a received message or the passing of time. Events are
 * immutable records, grouped into sealed interfaces by subject.
 *
 * @since 0.1
 */
public interface Event {

}
