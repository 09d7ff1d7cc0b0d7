package org.catkingate.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.catkingate.decisions.competition.CompetingLevels;
import org.catkingate.decisions.competition.ServiceCompetition;
import org.catkingate.decisions.competition.UrgencyLevels;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.ServingConfiguration;

/**
 * The competition of calls at each service, as far as this process has seen it. Nothing
 * is recorded of services with a single urgency level. Used by the traffic thread only.
 */
final class ServiceCompetitions {

	private final Map<ServiceName, ServiceCompetition> competitions = new HashMap<>();

	private final Map<ServiceName, UrgencyLevels> levels = new HashMap<>();

	private final Supplier<Optional<ServingConfiguration>> configuration;

	private ServingConfiguration levelsBasis;

	ServiceCompetitions(Supplier<Optional<ServingConfiguration>> configuration) {
		this.configuration = configuration;
	}

	/**
	 * Returns the urgency levels of a service by the configuration in force.
	 * @param service the service
	 * @return the levels, never null
	 */
	UrgencyLevels levels(ServiceName service) {
		ServingConfiguration current = this.configuration.get().orElse(null);
		if (current != this.levelsBasis) {
			this.levels.clear();
			this.levelsBasis = current;
		}
		return (current != null) ? this.levels.computeIfAbsent(service, (key) -> UrgencyLevels.of(current, key))
				: UrgencyLevels.NONE;
	}

	ServiceCompetition of(ServiceName service, long nowMillis) {
		return this.competitions.computeIfAbsent(service, (key) -> new ServiceCompetition(nowMillis));
	}

	void recordArrival(ServiceName service, ServiceCompetition.Competitor call, long nowMillis) {
		if (levels(service).differ()) {
			of(service, nowMillis).recordArrival(call, nowMillis);
		}
	}

	void recordSend(ServiceName service, ServiceCompetition.Competitor call, boolean late, long nowMillis) {
		if (levels(service).differ()) {
			of(service, nowMillis).recordSend(call, late, nowMillis);
		}
	}

	void recordUnplaced(ServiceName service, ServiceCompetition.Competitor call, long nowMillis) {
		if (levels(service).differ()) {
			of(service, nowMillis).recordUnplaced(call, nowMillis);
		}
	}

	CompetingLevels competitionOf(ServiceName service, ServiceCompetition.Competitor call, long nowMillis) {
		UrgencyLevels configured = levels(service);
		return configured.differ() ? of(service, nowMillis).competitionOf(configured, call, nowMillis)
				: CompetingLevels.none();
	}

	/**
	 * Describes the competition at a service for operators.
	 * @param service the service
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the levels in use and the rates
	 */
	String describe(ServiceName service, long nowMillis) {
		UrgencyLevels configured = levels(service);
		if (!configured.differ()) {
			return "one urgency level";
		}
		ServiceCompetition competition = of(service, nowMillis);
		StringBuilder text = new StringBuilder("urgency levels in use:");
		competition.levelsInUse(configured, nowMillis)
			.levels()
			.forEach((level) -> text.append(' ')
				.append(level.urgency().text())
				.append(" (goal ")
				.append(level.goalMillis())
				.append(" ms)"));
		return text.append("; sent late per second: ").append(competition.sentLatePerSecond(nowMillis)).toString();
	}

}
