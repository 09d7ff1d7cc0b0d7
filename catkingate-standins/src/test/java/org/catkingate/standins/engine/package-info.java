/**
 * Tests of the engine stand-in.
 */
package org.catkingate.standins.engine;
