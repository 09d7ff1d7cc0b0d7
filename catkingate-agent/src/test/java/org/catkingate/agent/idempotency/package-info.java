/**
 * Tests of the guard in front of non-idempotent calls.
 */
package org.catkingate.agent.idempotency;
