/**
 * Decisions on the keys of non-idempotent calls: which agent is the home of a key, when
 * that agent may vouch that no other agent has run the call, and what it remembers of the
 * calls that ran.
 */
package org.catkingate.decisions.idempotency;
