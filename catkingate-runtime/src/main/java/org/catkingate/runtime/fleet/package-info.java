/**
 * What both roles need to know of the fleet, in one object: the configuration in force,
 * the agents, and the links to them.
 */
package org.catkingate.runtime.fleet;
