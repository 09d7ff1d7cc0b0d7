/**
 * Live requests at an agent: refusal or admission, the bounded queue in front of each
 * runner, the call to the runner and the answer's way back to the entry.
 */
package org.catkingate.agent.requests;
