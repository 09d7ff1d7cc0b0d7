/**
 * Non-idempotent calls on whole processes.
 */
package org.catkingate.tests.purchases;
