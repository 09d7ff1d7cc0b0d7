/**
 * Tests of the decisions on non-idempotent calls.
 */
package org.catkingate.decisions.idempotency;
