/**
 * How fast a published configuration is in force everywhere, and what control costs.
 */
package org.catkingate.bench.fleet;
