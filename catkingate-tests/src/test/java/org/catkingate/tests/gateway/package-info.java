/**
 * Tests of a whole gateway against runners whose answers are written down byte by byte.
 */
package org.catkingate.tests.gateway;
