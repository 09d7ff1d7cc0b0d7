/**
 * Tests of the combination of membership and configuration.
 */
package org.catkingate.decisions.fleet;
