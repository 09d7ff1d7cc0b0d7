/**
 * Tests of the plain service stand-in.
 */
package org.catkingate.standins.plain;
