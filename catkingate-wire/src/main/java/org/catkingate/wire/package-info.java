/**
 * Messages between processes: the message types, their MessagePack encoding, and the
 * framed, authenticated TCP connections that carry them.
 */
package org.catkingate.wire;
