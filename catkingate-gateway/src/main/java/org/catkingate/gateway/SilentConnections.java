package org.catkingate.gateway;

import java.util.Collection;
import java.util.List;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.model.RunnerId;

/**
 * The connections to runners that may no longer carry anything, although neither side has
 * closed them: a device on the way may have lost its state. An idle connection does not
 * show it. After a request without a response on a connection that was reused, the idle
 * connections to that runner are closed on which no response has ended recently. If
 * requests to several runners get no response, those to all runners are. Used by the
 * traffic thread only.
 */
final class SilentConnections {

	private static final Logger logger = LoggerFactory.getLogger(SilentConnections.class);

	/**
	 * The maximum time between requests without a response to different runners that are
	 * assumed to have the same cause.
	 */
	private static final long SAME_CAUSE_MILLIS = 5000;

	/**
	 * The time after a response for which its connection is kept nevertheless. It is
	 * shorter than the time after which a connection counts as silent.
	 */
	private static final long RECENT_MILLIS = 500;

	private RunnerId lastRunner;

	private long lastRecordedAtMillis;

	/**
	 * Records that a request on a connection that was reused has got no response.
	 * @param runner the runner at the other end
	 * @param runners all runners
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void record(RunnerState runner, Collection<RunnerState> runners, long nowMillis) {
		RunnerId id = runner.runner().id();
		boolean several = this.lastRunner != null && !this.lastRunner.equals(id)
				&& nowMillis - this.lastRecordedAtMillis <= SAME_CAUSE_MILLIS;
		this.lastRunner = id;
		this.lastRecordedAtMillis = nowMillis;
		int closed = 0;
		for (RunnerState affected : several ? runners : List.of(runner)) {
			closed += affected.connections().closeIdleSince(nowMillis - RECENT_MILLIS);
		}
		if (closed > 0) {
			logger.atInfo()
				.addKeyValue("event", "silent-connections")
				.addKeyValue("runner", id)
				.addKeyValue("several-runners", several)
				.addKeyValue("closed", closed)
				.log("closed idle connections, since requests on reused ones get no response");
		}
	}

}
