/**
 * Tests of the routing of requests to runners.
 */
package org.catkingate.decisions.routing;
