package org.catkingate.soak;

/**
 * An observation that breaks a promise. Immutable.
 *
 * @param promise the promise
 * @param description what was observed
 */
record Breach(Promise promise, String description) {

}
