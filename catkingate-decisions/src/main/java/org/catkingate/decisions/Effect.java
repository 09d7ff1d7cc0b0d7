package org.catkingate.decisions;

/**
 * Something that is to be done outside the decision logic. Effects are immutable records,
 * in sealed families by matter.
 *
 * @since 0.1
 */
public interface Effect {

}
