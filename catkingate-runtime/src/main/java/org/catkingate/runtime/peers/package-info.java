/**
 * Connections to the other processes: opening, heartbeats, finding silent ones, and
 * handing messages to those who wait for them.
 */
package org.catkingate.runtime.peers;
