/**
 * Measures the distribution of weights.
 */
package org.catkingate.bench.weights;
