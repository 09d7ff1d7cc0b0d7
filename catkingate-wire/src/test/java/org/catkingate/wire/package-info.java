/**
 * Tests of messages and connections.
 */
package org.catkingate.wire;
