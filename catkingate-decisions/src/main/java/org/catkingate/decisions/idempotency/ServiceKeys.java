package org.catkingate.decisions.idempotency;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * What an agent knows of the homes of one service's keys. Immutable and safe for use by
 * any thread.
 *
 * @param repeatWindowMillis how long callers repeat a call, in milliseconds
 * @param ownRunners how many runners of the service the agent has
 * @param history the agent's own views
 * @param heard the newest statement of each other agent
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
	 * Takes note of what is seen now. A longer repeat window counts only from when keys
	 * have been remembered for as long.
	 * @param seen what is seen
	 * @param times the bounds
	 * @param nowMillis the time
	 * @return the state after, never null
	 */
	ServiceKeys withView(ServiceView seen, VouchingTimes times, long nowMillis) {
		ViewHistory known = this.history;
		if (seen.repeatWindowMillis() > this.repeatWindowMillis) {
			known = known.startingAt(nowMillis - times.retentionMillis(this.repeatWindowMillis));
		}
		Map<KeyHome, ReceivedStatement> members = new HashMap<>(this.heard);
		members.keySet().retainAll(seen.view().members());
		return new ServiceKeys(seen.repeatWindowMillis(), seen.ownRunners(), known.observe(seen.view(), nowMillis),
				members);
	}

	ServiceKeys withStatement(KeyStatement statement, long askedAtMillis) {
		ReceivedStatement former = this.heard.get(statement.speaker());
		boolean isOld = former != null && former.askedAtMillis() > askedAtMillis;
		if (isOld || !this.history.latest().members().contains(statement.speaker())) {
			return this;
		}
		Map<KeyHome, ReceivedStatement> more = new HashMap<>(this.heard);
		more.put(statement.speaker(), new ReceivedStatement(statement, askedAtMillis));
		return new ServiceKeys(this.repeatWindowMillis, this.ownRunners, this.history, more);
	}

	KeyStatement statement(KeyHome own, long nowMillis) {
		return new KeyStatement(own, this.ownRunners, this.history.coveredMillis(nowMillis),
				this.history.statedViews(nowMillis));
	}

	/**
	 * Returns the agents of the service, by the own view.
	 * @return the members of the newest view
	 */
	public Collection<KeyHome> members() {
		return this.history.latest().members();
	}

	/**
	 * A statement and when it was asked for. Immutable.
	 *
	 * @param statement the statement
	 * @param askedAtMillis when, in milliseconds of the own monotonic clock
	 */
	public record ReceivedStatement(KeyStatement statement, long askedAtMillis) {

	}

}
