/**
 * The runners beside an agent: the gate in front of each.
 */
package org.catkingate.agent.runners;
