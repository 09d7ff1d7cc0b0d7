/**
 * Tests of the decisions in a shutdown.
 */
package org.catkingate.decisions.shutdown;
