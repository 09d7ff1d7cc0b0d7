/**
 * The process's view of the fleet, for entries and agents: the configuration in force,
 * the agents, and the connections to them.
 */
package org.catkingate.runtime.fleet;
