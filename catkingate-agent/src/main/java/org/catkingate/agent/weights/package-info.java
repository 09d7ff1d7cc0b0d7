/**
 * Distribution of weights: chunk memory, sources, exchange with other agents and commands
 * to engines.
 */
package org.catkingate.agent.weights;
