package org.catkingate.decisions.admission;

/**
 * What a call asks for. Immutable.
 *
 * @param promptTokens the length of its prompt, in tokens
 * @param goalMillis within which its answer has its full value, in milliseconds
 * @param leftMillis how long it can wait at all, in milliseconds
 * @param caution how much longer first events took lately than predicted, as a factor
 * @since 0.1
 */
public record Demand(long promptTokens, long goalMillis, long leftMillis, double caution) {

}
