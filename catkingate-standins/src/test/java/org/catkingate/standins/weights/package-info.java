/**
 * Tests of the stand-ins.
 */
package org.catkingate.standins.weights;
