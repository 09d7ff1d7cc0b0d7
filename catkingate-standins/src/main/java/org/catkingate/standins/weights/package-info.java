/**
 * Stand-ins of the origin of weights and of the weight store.
 */
package org.catkingate.standins.weights;
