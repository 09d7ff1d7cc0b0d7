/**
 * Tests for messages and connections.
 */
package org.catkingate.wire;
