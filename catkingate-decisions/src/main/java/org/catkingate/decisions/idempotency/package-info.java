/**
 * Decisions on the keys of non-idempotent calls. The home of a caller's key is the agent
 * that is responsible for it: the first by rendezvous hash among the agents of the
 * service. The home runs the call only if it can vouch that no other agent has run it or
 * may yet run it. For this, the agents of a service exchange statements about their
 * views, which are the sets of agents that they have taken for the agents of the service.
 * An issued key names the agent that issued it, and no other agent runs its call. An
 * agent remembers the calls that it ran, and their responses, for a limited time.
 */
package org.catkingate.decisions.idempotency;
