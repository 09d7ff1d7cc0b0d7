/**
 * Estimates of the cost of requests, learned from finished ones, and of the work that is
 * left at runners.
 */
package org.catkingate.decisions.cost;
