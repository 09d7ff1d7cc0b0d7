package org.catkingate.decisions.competition;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.catkingate.decisions.sending.Residency;
import org.catkingate.decisions.sending.Urgency;
import org.catkingate.model.AccountName;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.CallKind;
import org.catkingate.model.registry.CallerLimits;
import org.catkingate.model.registry.RegisteredAccount;
import org.catkingate.model.registry.Route;
import org.catkingate.model.registry.RouteTable;
import org.catkingate.model.registry.ServingConfiguration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link WaitingQueue} and {@link UrgencyLevels}.
 */
class WaitingQueueTests {

	private static final ServiceName SERVICE = new ServiceName("songs");

	private final ServiceCompetition competition = new ServiceCompetition(0);

	private final WaitingQueue<String> queue = new WaitingQueue<>();

	private void add(String call, int priority, long issuedAt, long onTimeUntil, long latest, boolean followsRate) {
		this.queue.add(new WaitingQueue.Entry<>(call, new Urgency(0, priority), new AccountName(call.substring(0, 1)),
				Residency.anywhere(), issuedAt, onTimeUntil, latest, followsRate), 0);
	}

	private String removeFirst(long now) {
		WaitingQueue.Entry<String> first = this.queue.first(List.of(), this.competition, now).orElseThrow().entry();
		this.queue.remove(first);
		return first.call();
	}

	private List<String> hopeless(OptionalLong readyInMillis, long now) {
		return this.queue.removeHopeless(this.competition, (residency) -> readyInMillis, now)
			.stream()
			.map(WaitingQueue.Entry::call)
			.toList();
	}

	// Guards against late calls that take the places of calls that can be on time, and
	// against a caller that overtakes other accounts by stating a short time.
	@Test
	void callsLeaveByTimelinessUrgencyShareAndAge() {
		this.competition.recordSend(
				new ServiceCompetition.Competitor(new Urgency(0, 1), "r", new AccountName("a"), 1000), false, 0);
		add("a-forged", 1, -9000, 500, 2000, true);
		add("a-new", 1, 0, 500, 2000, true);
		add("b", 1, 0, 500, 2000, true);
		add("c-urgent", 0, 0, 500, 2000, true);
		add("d-late", 0, -3000, 0, 2000, true);
		assertThat(List.of(removeFirst(10), removeFirst(10), removeFirst(10), removeFirst(10), removeFirst(10)))
			.containsExactly("c-urgent", "b", "a-forged", "a-new", "d-late");
		assertThat(this.queue.size()).isZero();
	}

	// Guards against calls without a key that stop the queue.
	@Test
	void callsWithoutAnAccountWait() {
		this.queue.add(
				new WaitingQueue.Entry<>("open", new Urgency(0, 0), null, Residency.anywhere(), 0, 500, 2000, false),
				0);
		assertThat(removeFirst(10)).isEqualTo("open");
	}

	// Guards against calls that wait in vain until their deadline.
	@Test
	void callsThatCannotBeServedLeaveAtOnce() {
		add("a-short", 0, 0, 0, 2000, false);
		add("a-long", 0, 0, 0, 5000, false);
		assertThat(hopeless(OptionalLong.empty(), 100)).as("unknown").isEmpty();
		assertThat(hopeless(OptionalLong.of(3000), 100)).containsExactly("a-short");
		assertThat(hopeless(OptionalLong.empty(), 5000)).containsExactly("a-long");
		for (int i = 0; i < 100; i++) {
			add("b" + i, 0, i, 500, 2000, true);
		}
		assertThat(hopeless(OptionalLong.empty(), 0)).as("4 a second are sent").hasSize(92);
	}

	// Guards against levels that no call of the service can have, and against gateways
	// that rank calls differently.
	@Test
	void levelsFollowFromTheRoutesAndAccountsOfAService() {
		Route keyed = new Route("keyed", "h", "/a/", CallKind.STREAM, true, false, 6000, 400, 1, 2,
				List.of(new Route.Target(SERVICE, 1)), Long.MAX_VALUE, Set.of());
		Route open = new Route("open", "h", "/b/", CallKind.STREAM, true, true, 6000, 1000, 2, 2,
				List.of(new Route.Target(SERVICE, 1)), Long.MAX_VALUE, Set.of());
		ServingConfiguration configuration = new ServingConfiguration(1, RouteTable.of(List.of(keyed, open)), Map.of(),
				Map.of("k0", new RegisteredAccount(new AccountName("a"), 0, Set.of()), "k1",
						new RegisteredAccount(new AccountName("b"), 1, Set.of())),
				new CallerLimits(1, 1, 1, 1));
		UrgencyLevels levels = UrgencyLevels.of(configuration, SERVICE);
		assertThat(levels.levels()).containsExactly(new UrgencyLevels.Level(new Urgency(0, 1), 400),
				new UrgencyLevels.Level(new Urgency(0, 2), 1000), new UrgencyLevels.Level(new Urgency(1, 1), 400));
		assertThat(levels.priority(new Urgency(1, 1), false)).isEqualTo(OptionalInt.of(2));
		assertThat(levels.priority(new Urgency(0, 1), true)).isEqualTo(OptionalInt.of(9));
		assertThat(levels.restrictedTo(List.of(new Urgency(0, 1))).priority(new Urgency(0, 1), false)).isEmpty();
		assertThat(this.competition.levelsInUse(levels, 1000)).as("after a start").isEqualTo(levels);
		assertThat(this.competition.levelsInUse(levels, 10_000).levels()).as("unused").isEmpty();
	}

}
