/**
 * Tests for the fleet with a simulated platform.
 */
package org.catkingate.runtime.fleet;
