/**
 * Tests of the weights server.
 */
package org.catkingate.standins.weights;
