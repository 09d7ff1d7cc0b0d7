/**
 * Puts the distribution of weights and the runners of one agent together.
 */
package org.catkingate.decisions.weights;
