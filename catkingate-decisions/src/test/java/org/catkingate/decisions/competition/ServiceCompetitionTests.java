package org.catkingate.decisions.competition;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.catkingate.decisions.sending.Urgency;
import org.catkingate.model.AccountName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServiceCompetition}.
 */
class ServiceCompetitionTests {

	private static final Urgency URGENT = new Urgency(0, 0);

	private static final Urgency PATIENT = new Urgency(1, 2);

	private final UrgencyLevels levels = new UrgencyLevels(
			List.of(new UrgencyLevels.Level(URGENT, 400), new UrgencyLevels.Level(PATIENT, 1000)));

	private final ServiceCompetition competition = new ServiceCompetition(0);

	private static ServiceCompetition.Competitor call(Urgency urgency) {
		return new ServiceCompetition.Competitor(urgency, "route", null, 1);
	}

	private CompetingLevels competitionOf(Urgency urgency, long nowMillis) {
		return this.competition.competitionOf(this.levels, call(urgency), nowMillis);
	}

	private void recordArrivals(int unplacedOfTen) {
		for (int call = 0; call < 100; call++) {
			this.competition.recordArrival(call(URGENT), 20_000);
			this.competition.recordArrival(call(PATIENT), 20_000);
			if (call % 10 < unplacedOfTen) {
				this.competition.recordUnplaced(call(URGENT), 20_000);
			}
		}
	}

	// Load pattern: most slots are in use, and every call finds a place. Guards against
	// less urgent calls that wait and are late although there is room.
	@Test
	void lessUrgentCallsAreNotLimitedWhileMoreUrgentOnesFindPlaces() {
		recordArrivals(0);
		CompetingLevels patient = competitionOf(PATIENT, 20_001);
		assertThat(patient.exist()).isTrue();
		assertThat(patient.reservedCalls()).isZero();
		assertThat(patient.limitMillis(750, 100)).isEqualTo(750);
	}

	// Load pattern: a shortage. Guards against patient calls that fill the queues up to
	// their own goal, so that urgent ones are always rejected.
	@Test
	void lessUrgentCallsLeaveRoomWhileMoreUrgentOnesLackPlaces() {
		recordArrivals(3);
		CompetingLevels patient = competitionOf(PATIENT, 20_001);
		assertThat(patient.reservedCalls()).isEqualTo(1);
		assertThat(patient.limitMillis(750, 100)).isLessThan(CompetingLevels.GOAL_FRACTION * 400);
		CompetingLevels urgent = competitionOf(URGENT, 20_001);
		assertThat(urgent.limitMillis(300, 100)).isEqualTo(300);
	}

	// Load pattern: one account with most of the traffic, first with room for all calls
	// and then without. Guards against an account that is held to an equal share while
	// the others find places, and against one that takes the places of the others.
	@Test
	void anAccountWithMostOfTheTrafficIsLimitedOnlyInAShortage() {
		ServiceCompetition.Competitor large = new ServiceCompetition.Competitor(URGENT, "route",
				new AccountName("large"), 1000);
		ServiceCompetition.Competitor small = new ServiceCompetition.Competitor(URGENT, "route",
				new AccountName("small"), 1000);
		for (int call = 0; call < 100; call++) {
			ServiceCompetition.Competitor next = (call % 10 == 0) ? small : large;
			this.competition.recordArrival(next, 20_000);
			this.competition.recordSend(next, false, 20_000);
			this.competition.recordArrival(call(PATIENT), 20_000);
		}
		CompetingLevels withRoom = this.competition.competitionOf(this.levels, large, 20_001);
		assertThat(withRoom.limitMillis(300, 100)).isEqualTo(300);
		assertThat(withRoom.reservedCalls()).isZero();
		for (int call = 0; call < 30; call++) {
			this.competition.recordUnplaced(small, 20_001);
		}
		CompetingLevels inShortage = this.competition.competitionOf(this.levels, large, 20_002);
		assertThat(inShortage.limitMillis(300, 100)).isLessThan(300);
		assertThat(inShortage.reservedCalls()).isEqualTo(1);
		assertThat(this.competition.competitionOf(this.levels, small, 20_002).limitMillis(300, 100)).isEqualTo(300);
	}

	// Guards against limits that stay when the shortage is over.
	@Test
	void theLimitEndsSomeSecondsAfterTheShortage() {
		recordArrivals(3);
		for (long now = 20_000; now < 30_000; now += 50) {
			this.competition.recordArrival(call(URGENT), now);
			this.competition.recordArrival(call(PATIENT), now);
		}
		assertThat(competitionOf(PATIENT, 30_000).reservedCalls()).isZero();
	}

}
