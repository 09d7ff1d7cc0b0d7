/**
 * Connections to other processes: opening them, sending heartbeats, recording what is
 * received, and passing messages to listeners.
 */
package org.catkingate.runtime.peers;
