/**
 * Gates in front of the runners of an agent.
 */
package org.catkingate.agent.runners;
