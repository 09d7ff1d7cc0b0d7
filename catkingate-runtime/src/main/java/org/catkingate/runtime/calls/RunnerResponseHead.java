package org.catkingate.runtime.calls;

import java.util.Optional;

/**
 * The metadata that a runner sends in the headers of its response. Immutable.
 *
 * @param requestId the identifier of the request that it responds to, null if it is not
 * sent
 * @param signed whether the response carries a runner's message authentication code
 * @param notRun whether the runner reports that it has not run the request
 * @param misdirected whether it has not run it because the request names another runner
 * or a version that it does not serve
 * @param load the load of the runner, empty if it is not sent
 * @param keepAliveMillis how long the runner keeps the idle connection open, in
 * milliseconds; 0 if it closes the connection, {@link Long#MAX_VALUE} if this is not sent
 * @param leaving whether the sender of the response states that it leaves and wants no
 * new requests
 * @param pause the time for which the sender wants no requests
 * @param limit the number of requests that the sender takes from all callers together
 * @since 0.1
 */
public record RunnerResponseHead(String requestId, boolean signed, boolean notRun, boolean misdirected,
		Optional<RunnerLoad> load, long keepAliveMillis, boolean leaving, RequestedPause pause, StatedLimit limit) {

}
