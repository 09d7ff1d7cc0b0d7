package org.catkingate.soak;

/**
 * What callers and runners are promised.
 */
enum Promise {

	/** A response is the runner's whole response to this request. */
	OWN_RESPONSE,

	/** The events of a stream arrive in order, once each, up to the last. */
	EVENT_ORDER,

	/** A request that may not be repeated runs at most once. */
	AT_MOST_ONCE,

	/** A request that was rejected as not run never runs. */
	REJECTED_NOT_RUN,

	/** A runner runs only requests of callers, unchanged and for the key's account. */
	UNCHANGED_REQUEST,

	/** Requests with a key that was withdrawn no longer run. */
	WITHDRAWN_KEY,

	/** A process does not go back to an older configuration. */
	NO_REVERSION,

	/** Valid requests are not rejected as unauthorized or without a route. */
	VALID_REQUEST_ADMITTED,

	/** A runner that said that it leaves gets no further requests. */
	LEAVING_RUNNER,

	/** A runner that asked to be left alone for a time gets almost no requests. */
	RUNNER_PAUSE,

	/** Responses are generated with complete weights of one version. */
	WHOLE_WEIGHTS,

	/** A request arrives only in regions that its route and its account allow. */
	RESIDENCY,

	/** No request arrives in an evacuated data centre after the time for it. */
	EVACUATION,

	/** A cold runner gets no more requests in any second than it tolerates. */
	COLD_RUNNER,

	/** A request that reached a sound runner gets a whole response. */
	ANSWERED,

	/** A gateway holds nothing of requests that have ended. */
	MEMORY,

	/** Requests of a more urgent account are not served less often. */
	URGENCY

}
