package org.catkingate.decisions.idempotency;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * The state of an agent with regard to the homes of the keys of one service. Immutable
 * and safe for use by any thread.
 *
 * @param repeatWindowMillis how long callers retry a call, in milliseconds
 * @param ownRunners the number of runners of the service on the agent
 * @param history the views that the agent has held
 * @param heard the latest statement of each other agent
 * @since 0.1
 */
public record ServiceKeys(long repeatWindowMillis, int ownRunners, ViewHistory history,
		Map<KeyHome, ReceivedStatement> heard) {

	public ServiceKeys {
		Objects.requireNonNull(history, "history must not be null");
		heard = Map.copyOf(heard);
	}

	static ServiceKeys of(ServiceView seen, long nowMillis) {
		ViewHistory history = ViewHistory.empty().observe(seen.view(), nowMillis);
		return new ServiceKeys(seen.repeatWindowMillis(), seen.ownRunners(), history, Map.of());
	}

	/**
	 * Returns a copy with the current view. If the repeat window has grown, the history
	 * is cut to the time for which keys were retained under the previous window, since
	 * older keys may already have been removed.
	 * @param seen the current view
	 * @param times the bounds
	 * @param nowMillis the time, in milliseconds of the monotonic clock
	 * @return the copy, never null
	 */
	ServiceKeys withView(ServiceView seen, VouchingTimes times, long nowMillis) {
		ViewHistory updatedHistory = this.history;
		if (seen.repeatWindowMillis() > this.repeatWindowMillis) {
			updatedHistory = updatedHistory.startingAt(nowMillis - times.retentionMillis(this.repeatWindowMillis));
		}
		Map<KeyHome, ReceivedStatement> remaining = new HashMap<>(this.heard);
		remaining.keySet().retainAll(seen.view().members());
		return new ServiceKeys(seen.repeatWindowMillis(), seen.ownRunners(),
				updatedHistory.observe(seen.view(), nowMillis), remaining);
	}

	ServiceKeys withStatement(KeyStatement statement, long requestedAtMillis) {
		ReceivedStatement previous = this.heard.get(statement.speaker());
		boolean isOutdated = previous != null && previous.askedAtMillis() > requestedAtMillis;
		if (isOutdated || !this.history.latest().members().contains(statement.speaker())) {
			return this;
		}
		Map<KeyHome, ReceivedStatement> updated = new HashMap<>(this.heard);
		updated.put(statement.speaker(), new ReceivedStatement(statement, requestedAtMillis));
		return new ServiceKeys(this.repeatWindowMillis, this.ownRunners, this.history, updated);
	}

	KeyStatement statement(KeyHome own, long nowMillis) {
		return new KeyStatement(own, this.ownRunners, this.history.coveredMillis(nowMillis),
				this.history.statedViews(nowMillis));
	}

	/**
	 * Returns the agents of the service according to the latest view of this agent.
	 * @return the members of the latest view
	 */
	public Collection<KeyHome> members() {
		return this.history.latest().members();
	}

	/**
	 * A received statement and when it was requested. Immutable.
	 *
	 * @param statement the statement
	 * @param askedAtMillis when it was requested, in milliseconds of this agent's
	 * monotonic clock
	 */
	public record ReceivedStatement(KeyStatement statement, long askedAtMillis) {

	}

}
