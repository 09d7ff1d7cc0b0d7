/**
 * Combines the decisions about the distribution of weights and about the runners of one
 * agent.
 */
package org.catkingate.decisions.weights;
