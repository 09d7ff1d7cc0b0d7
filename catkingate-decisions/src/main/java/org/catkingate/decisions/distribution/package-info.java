/**
 * Decides, for one agent, which chunks of weights to fetch, from where and when.
 */
package org.catkingate.decisions.distribution;
