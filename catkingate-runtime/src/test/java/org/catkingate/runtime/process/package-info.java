/**
 * Tests for the shared parts of processes.
 */
package org.catkingate.runtime.process;
