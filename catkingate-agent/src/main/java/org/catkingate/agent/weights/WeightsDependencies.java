package org.catkingate.agent.weights;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;

import org.catkingate.decisions.distribution.Source;
import org.catkingate.model.RunnerId;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.PeerConnections;

/**
 * Dependencies of the distribution. Immutable; each of them is safe for use by any
 * thread.
 *
 * @param publishedSources the origin and the weight store, if configured
 * @param engines the engine behind each runner; none for runners of plain services
 * @param peers the connections that are open
 * @param connector opens the connections that the distribution needs
 * @param uploadRateLimit limits the rate of the bytes sent to peers
 * @param downloadRateLimit limits the rate of the bytes requested
 * @param timer runs short tasks after a delay
 * @param digestExecutor computes digests
 * @param clock the clock
 */
record WeightsDependencies(Map<Source, WeightSource> publishedSources, Map<RunnerId, EngineClient> engines,
		PeerConnections peers, PeerConnector connector, TokenBucket uploadRateLimit, TokenBucket downloadRateLimit,
		ScheduledExecutorService timer, ExecutorService digestExecutor, MonotonicClock clock) {

	WeightsDependencies {
		publishedSources = Map.copyOf(publishedSources);
		engines = Map.copyOf(engines);
		Objects.requireNonNull(peers, "peers must not be null");
		Objects.requireNonNull(connector, "connector must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
	}

}
