/**
 * Non-idempotent calls at an agent: which may run, what became of those that did, and the
 * exchange with the other agents of a service that it takes to know.
 */
package org.catkingate.agent.idempotency;
