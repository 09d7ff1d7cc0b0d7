/**
 * Tests of admission and the choice of a runner.
 */
package org.catkingate.decisions.admission;
