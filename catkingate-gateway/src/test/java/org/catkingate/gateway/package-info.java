/**
 * Tests of the parts of a gateway.
 */
package org.catkingate.gateway;
