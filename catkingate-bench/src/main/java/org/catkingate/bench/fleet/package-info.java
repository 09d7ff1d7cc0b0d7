/**
 * A benchmark of the time until a published configuration is in force in all processes,
 * and of the cost of the control plane.
 */
package org.catkingate.bench.fleet;
