/**
 * Non-idempotent calls: where the key of a call belongs, who may vouch that no other
 * agent has run it, and what is remembered of the calls that ran.
 */
package org.catkingate.decisions.idempotency;
