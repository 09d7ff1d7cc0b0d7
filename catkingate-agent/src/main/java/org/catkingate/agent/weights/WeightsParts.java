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
 * @param published the origin and the weight store
 * @param engines the engine behind each runner; none for runners of plain services
 * @param peers the connections that are open
 * @param dialler makes the connections that are wanted
 * @param upload paces what is sent to peers
 * @param download paces what is asked for
 * @param timer runs short tasks later
 * @param digests computes digests
 * @param clock the clock
 */
record WeightsParts(Map<Source, WeightSource> published, Map<RunnerId, EngineClient> engines, PeerConnections peers,
		Dialler dialler, TokenBucket upload, TokenBucket download, ScheduledExecutorService timer,
		ExecutorService digests, MonotonicClock clock) {

	WeightsParts {
		published = Map.copyOf(published);
		engines = Map.copyOf(engines);
		Objects.requireNonNull(peers, "peers must not be null");
		Objects.requireNonNull(dialler, "dialler must not be null");
		Objects.requireNonNull(clock, "clock must not be null");
	}

}
