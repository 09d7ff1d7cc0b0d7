/**
 * Tests of the decisions about the distribution of weights.
 */
package org.catkingate.decisions.distribution;
