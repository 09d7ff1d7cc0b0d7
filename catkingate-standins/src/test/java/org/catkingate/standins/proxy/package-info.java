/**
 * Tests of the fault-injecting proxy.
 */
package org.catkingate.standins.proxy;
