package org.catkingate.decisions.idempotency;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * The state of an agent with regard to the homes of the keys of one service. Immutable
 * and safe for use by any thread.
 *
 * @param repeatWindowMillis how long callers may repeat a call, in milliseconds
 * @param ownRunners the number of runners of the service on the agent
 * @param history the views that the agent has held
 * @param statements the latest statement of each other agent
 * @since 0.1
 */
public record ServiceKeyState(long repeatWindowMillis, int ownRunners, ViewHistory history,
		Map<KeyHome, ReceivedStatement> statements) {

	public ServiceKeyState {
		Objects.requireNonNull(history, "history must not be null");
		statements = Map.copyOf(statements);
	}

	static ServiceKeyState of(ServiceObservation current, long nowMillis) {
		ViewHistory history = ViewHistory.empty().observe(current.view(), nowMillis);
		return new ServiceKeyState(current.repeatWindowMillis(), current.ownRunners(), history, Map.of());
	}

	/**
	 * Returns a copy with the current observation. If the repeat window has grown, the
	 * history is cut to the time for which keys were retained under the previous window,
	 * since older keys may already have been removed.
	 * @param current the current observation
	 * @param bounds the bounds
	 * @param nowMillis the time, in milliseconds of the monotonic clock
	 * @return the copy, never null
	 */
	ServiceKeyState withObservation(ServiceObservation current, VouchingBounds bounds, long nowMillis) {
		ViewHistory updatedHistory = this.history;
		if (current.repeatWindowMillis() > this.repeatWindowMillis) {
			updatedHistory = updatedHistory.startingAt(nowMillis - bounds.retentionMillis(this.repeatWindowMillis));
		}
		Map<KeyHome, ReceivedStatement> remaining = new HashMap<>(this.statements);
		remaining.keySet().retainAll(current.view().members());
		return new ServiceKeyState(current.repeatWindowMillis(), current.ownRunners(),
				updatedHistory.observe(current.view(), nowMillis), remaining);
	}

	ServiceKeyState withStatement(KeyStatement statement, long requestedAtMillis) {
		ReceivedStatement previous = this.statements.get(statement.author());
		boolean isOutdated = previous != null && previous.requestedAtMillis() > requestedAtMillis;
		if (isOutdated || !this.history.latest().members().contains(statement.author())) {
			return this;
		}
		Map<KeyHome, ReceivedStatement> updated = new HashMap<>(this.statements);
		updated.put(statement.author(), new ReceivedStatement(statement, requestedAtMillis));
		return new ServiceKeyState(this.repeatWindowMillis, this.ownRunners, this.history, updated);
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
	 * @param requestedAtMillis when it was requested, in milliseconds of this agent's
	 * monotonic clock
	 */
	public record ReceivedStatement(KeyStatement statement, long requestedAtMillis) {

	}

}
