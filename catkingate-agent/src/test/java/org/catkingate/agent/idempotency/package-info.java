/**
 * Tests of the handling of non-idempotent calls and their keys.
 */
package org.catkingate.agent.idempotency;
