package org.catkingate.agent.weights;

import org.catkingate.model.Digest;
import org.catkingate.model.VersionId;

/**
 * State of an engine as the engine reports it. Immutable and safe for use by any thread.
 *
 * @param version the loaded version; null if no version is loaded
 * @param digest the digest of the complete weights; null if no version is loaded
 * @param fence the highest fencing number that it has accepted, 0 for none
 * @param running the number of requests that it runs
 * @param waiting the number of further requests that wait in it
 * @since 0.1
 */
public record EngineState(VersionId version, Digest digest, long fence, int running, int waiting) {

}
