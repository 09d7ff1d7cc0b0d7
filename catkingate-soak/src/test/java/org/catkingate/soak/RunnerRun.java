package org.catkingate.soak;

/**
 * A request that a runner has begun to run. Immutable.
 *
 * @param signature identifies the run; sent with the response
 * @param requestId the identifier of the request
 * @param runner the runner, a new one after each start
 * @param service the service of the runner
 * @param path the path of the request as received
 * @param body the body of the request as received
 * @param account the account that was named to the runner; empty if none was
 * @param keyReceived whether the caller's key was passed on
 * @param resumesAfter the number of the last event that the caller is said to have; 0 for
 * a run from the start
 * @param status the status of the response
 * @param response the whole body of the response, also if the runner breaks off
 * @param wholeWeights whether it runs with complete weights of one version
 * @param startedMillis when the run began
 */
record RunnerRun(String signature, String requestId, String runner, String service, String path, String body,
		String account, boolean keyReceived, int resumesAfter, int status, String response, boolean wholeWeights,
		long startedMillis) {

}
