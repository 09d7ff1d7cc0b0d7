/**
 * Tests of retries.
 */
package org.catkingate.decisions.retries;
