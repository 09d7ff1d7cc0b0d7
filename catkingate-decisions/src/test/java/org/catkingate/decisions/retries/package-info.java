/**
 * Tests of the decisions on retries.
 */
package org.catkingate.decisions.retries;
