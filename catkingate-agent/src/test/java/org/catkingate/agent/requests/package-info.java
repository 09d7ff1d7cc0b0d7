/**
 * Tests of the calls of an agent to its runners.
 */
package org.catkingate.agent.requests;
