/**
 * Tests for the endpoint for operators.
 */
package org.catkingate.runtime.operators;
