/**
 * Tests of the control loop.
 */
package org.catkingate.runtime;
