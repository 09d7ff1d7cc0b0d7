package org.catkingate.runtime.calls;

import java.util.Optional;

/**
 * What a runner says with its answer. Immutable.
 *
 * @param requestId the identity of the call that it answers, null if it does not say
 * @param signed whether it bears a runner's message authentication code
 * @param notRun whether the runner says that it has not run the request
 * @param load how busy the runner is
 * @param keptMillis how long the runner keeps the connection, in milliseconds; 0 if it
 * closes it, or {@link Long#MAX_VALUE} if it does not say
 * @since 0.1
 */
public record AnswerHead(String requestId, boolean signed, boolean notRun, Optional<RunnerLoad> load, long keptMillis) {

}
