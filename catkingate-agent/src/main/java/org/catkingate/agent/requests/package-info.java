/**
 * Live requests at an agent: admission or rejection, the bounded queue in front of each
 * runner, the call to the runner and the stream of the response to the entry.
 */
package org.catkingate.agent.requests;
