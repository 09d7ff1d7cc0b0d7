/**
 * Tests of routing.
 */
package org.catkingate.decisions.routing;
