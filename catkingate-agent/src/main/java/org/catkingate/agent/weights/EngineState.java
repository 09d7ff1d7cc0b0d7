package org.catkingate.agent.weights;

import org.catkingate.model.Digest;
import org.catkingate.model.VersionId;

/**
 * What an engine says that it holds. Immutable and safe for use by any thread.
 *
 * @param version the version; null if it holds none
 * @param digest the digest of the whole of its weights; null likewise
 * @param fence the highest fencing number that it has accepted, 0 for none
 * @param running how many requests it runs
 * @param waiting how many more wait in it
 * @since 0.1
 */
public record EngineState(VersionId version, Digest digest, long fence, int running, int waiting) {

}
