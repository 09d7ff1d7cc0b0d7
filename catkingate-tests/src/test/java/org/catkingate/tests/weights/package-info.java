/**
 * Tests of the distribution of weights over loopback, with stand-ins for sources and
 * engines.
 */
package org.catkingate.tests.weights;
