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
 * What the distribution works with. Immutable; each part is safe for use by any thread.
 *
 * @param publishedSources the origin and the weight store
 * @param engines the engine behind each runner; none for runners of plain services
 * @param peers the connections that are open
 * @param connector makes the connections that are wanted
 * @param upload paces what is sent to peers
 * @param download paces what is asked for
 * @param timer runs short tasks later
 * @param digestExecutor computes digests
 * @param clock the clock
 */
record WeightsDependencies(Map<Source, WeightSource> publishedSources, Map<RunnerId, EngineClient> engines,
		PeerConnections peers, PeerConnector connector, TokenBucket upload, TokenBucket download,
		ScheduledExecutorService timer, ExecutorService digestExecutor, MonotonicClock clock) {

	WeightsDependencies {
		publishedSources = Map.copyOf(publishedSources);
		engines = Map.copyOf(engines);
		Objects.requireNonNull(peers, "peers must not be null");
		Objects.requireNonNull(connector, "dialler must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
	}

}
