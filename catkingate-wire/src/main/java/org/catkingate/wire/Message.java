package org.catkingate.wire;

/**
 * A message between two processes. Messages are records, immutable and safe for use by
 * any thread; byte arrays in them must not be modified after construction.
 *
 * @since 0.1
 */
public interface Message {

}
