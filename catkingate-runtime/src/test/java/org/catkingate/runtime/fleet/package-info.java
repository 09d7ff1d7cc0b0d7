/**
 * Tests of the fleet with the platform's stand-in.
 */
package org.catkingate.runtime.fleet;
