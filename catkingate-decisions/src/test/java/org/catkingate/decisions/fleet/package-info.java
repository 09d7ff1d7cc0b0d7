/**
 * Tests of membership and configuration together.
 */
package org.catkingate.decisions.fleet;
