package org.catkingate.decisions;

/**
 * Something that happened. Events are immutable records, in sealed families by matter.
 *
 * @since 0.1
 */
public interface Event {

}
