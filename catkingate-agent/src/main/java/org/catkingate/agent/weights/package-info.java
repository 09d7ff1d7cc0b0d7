/**
 * Distribution of weights: chunk memory, sources, exchange with other agents and orders
 * to engines.
 */
package org.catkingate.agent.weights;
