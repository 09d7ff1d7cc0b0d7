package org.catkingate.decisions.competition;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

import org.catkingate.decisions.sending.Urgency;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.RegisteredAccount;
import org.catkingate.model.registry.Route;
import org.catkingate.model.registry.ServingConfiguration;

/**
 * The urgency levels that calls to a service can have by the published configuration, the
 * most urgent first. Immutable.
 *
 * @param levels the levels
 * @since 0.1
 */
public record UrgencyLevels(List<Level> levels) {

	/** No levels, as long as no configuration is known. */
	public static final UrgencyLevels NONE = new UrgencyLevels(List.of());

	/** The rank of calls that are late already in the queue of a runner. */
	private static final int LATE_PRIORITY = 9;

	/** The rank of the least urgent level, ahead of late calls. */
	private static final int MAX_PRIORITY = 8;

	/** The priority of calls without a client account. */
	private static final int MOST_URGENT = 0;

	public UrgencyLevels {
		levels = List.copyOf(levels);
	}

	/**
	 * Returns the levels of a service: the combinations of its routes and of the accounts
	 * that can use them.
	 * @param configuration the published configuration
	 * @param service the service
	 * @return the levels, none if no route leads to the service
	 */
	public static UrgencyLevels of(ServingConfiguration configuration, ServiceName service) {
		Set<Integer> accountPriorities = new TreeSet<>();
		configuration.accounts().values().stream().map(RegisteredAccount::priority).forEach(accountPriorities::add);
		SortedMap<Urgency, Long> goals = new TreeMap<>();
		for (Route route : configuration.routes().routes()) {
			if (route.targets()
				.stream()
				.noneMatch((target) -> target.weight() > 0 && target.service().equals(service))) {
				continue;
			}
			Set<Integer> priorities = route.allowsAnonymousCalls() ? Set.of(MOST_URGENT) : accountPriorities;
			priorities.forEach(
					(priority) -> goals.merge(new Urgency(priority, route.priority()), route.goalMillis(), Math::min));
		}
		return new UrgencyLevels(
				goals.entrySet().stream().map((entry) -> new Level(entry.getKey(), entry.getValue())).toList());
	}

	/**
	 * Returns whether calls to the service can differ in urgency.
	 * @return whether there is more than one level
	 */
	public boolean differ() {
		return this.levels.size() > 1;
	}

	/**
	 * Returns the levels that are in use.
	 * @param used the urgencies in use
	 * @return the levels among them
	 */
	public UrgencyLevels restrictedTo(Collection<Urgency> used) {
		return new UrgencyLevels(this.levels.stream().filter((level) -> used.contains(level.urgency())).toList());
	}

	/**
	 * Returns the rank of a call in the queue of a runner. All gateways derive the same
	 * one, since it depends on the published configuration only.
	 * @param urgency the urgency of the call
	 * @param late whether its response will be late in any case
	 * @return the rank from 0, the most urgent, to 9; empty if the levels do not differ
	 */
	public OptionalInt priority(Urgency urgency, boolean late) {
		if (!differ()) {
			return OptionalInt.empty();
		}
		if (late) {
			return OptionalInt.of(LATE_PRIORITY);
		}
		int moreUrgent = (int) this.levels.stream().filter((level) -> level.urgency().compareTo(urgency) < 0).count();
		return OptionalInt.of((this.levels.size() <= MAX_PRIORITY + 1) ? Math.min(moreUrgent, MAX_PRIORITY)
				: Math.min(MAX_PRIORITY, moreUrgent * MAX_PRIORITY / (this.levels.size() - 1)));
	}

	/**
	 * An urgency level.
	 *
	 * @param urgency the urgency
	 * @param goalMillis the shortest goal of its routes, in milliseconds
	 */
	public record Level(Urgency urgency, long goalMillis) {

		public Level {
			Objects.requireNonNull(urgency, "urgency must not be null");
		}

	}

}
