/**
 * A stand-in for the origin of weights and for the weight store.
 */
package org.catkingate.standins.weights;
