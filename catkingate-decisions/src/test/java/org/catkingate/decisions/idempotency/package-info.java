/**
 * Tests of the decisions on the keys of non-idempotent calls.
 */
package org.catkingate.decisions.idempotency;
