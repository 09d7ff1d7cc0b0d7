/**
 * Messages between the processes of the system: their types, their MessagePack form and
 * the framed and authenticated TCP connections that carry them.
 */
package org.catkingate.wire;
