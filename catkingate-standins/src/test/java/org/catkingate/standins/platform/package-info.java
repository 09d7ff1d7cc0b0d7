/**
 * Tests of the platform stand-in.
 */
package org.catkingate.standins.platform;
