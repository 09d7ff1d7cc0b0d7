/**
 * The agent role: the process that connects the runners of one instance to the fleet.
 */
package org.catkingate.agent;
