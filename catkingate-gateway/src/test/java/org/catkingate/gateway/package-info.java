/**
 * Unit tests of the gateway.
 */
package org.catkingate.gateway;
