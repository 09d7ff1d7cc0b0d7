/**
 * Tests for the control loop.
 */
package org.catkingate.runtime;
