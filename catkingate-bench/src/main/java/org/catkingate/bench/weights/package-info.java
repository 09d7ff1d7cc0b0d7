/**
 * A benchmark of the distribution of weights between agents.
 */
package org.catkingate.bench.weights;
