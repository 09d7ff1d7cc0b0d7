/**
 * Tests of limits.
 */
package org.catkingate.decisions.limits;
