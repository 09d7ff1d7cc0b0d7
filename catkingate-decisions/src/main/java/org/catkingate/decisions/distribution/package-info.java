/**
 * Decisions of one agent about which chunks of weights to fetch, from where and when.
 */
package org.catkingate.decisions.distribution;
