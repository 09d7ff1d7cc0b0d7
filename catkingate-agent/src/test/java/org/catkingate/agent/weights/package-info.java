/**
 * Tests of the distribution of weights.
 */
package org.catkingate.agent.weights;
