/**
 * Tests of non-idempotent calls with real processes.
 */
package org.catkingate.tests.purchases;
