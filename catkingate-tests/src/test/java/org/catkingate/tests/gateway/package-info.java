/**
 * Tests of complete gateways against runners whose responses are scripted byte by byte.
 */
package org.catkingate.tests.gateway;
