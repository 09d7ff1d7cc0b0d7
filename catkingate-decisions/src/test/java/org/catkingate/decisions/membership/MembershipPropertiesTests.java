package org.catkingate.decisions.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Role;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property-based tests for {@link MembershipReducer} with shuffled, delayed, duplicated
 * and lost events.
 */
class MembershipPropertiesTests {

	private static final int TRIES = 300;

	private static final int AGENTS = 4;

	private static final int EVENTS = 120;

	private final MembershipSession session = MembershipSession.of(Role.ENTRY);

	private long lastConnection;

	@Property(tries = TRIES)
	void onlyConnectedAgentsThatAreNotLeavingAcceptRequests(@ForAll long seed) {
		Random random = new Random(seed);
		for (int i = 0; i < EVENTS; i++) {
			applyRandomEvent(random);
			for (AgentView agent : this.session.state().snapshot().agents().values()) {
				if (agent.canAcceptRequests()) {
					assertThat(agent.instance().leaving()).isFalse();
					assertThat(openConnections(agent.instance().id())).anyMatch(ConnectionState::isVerified)
						.anyMatch((connection) -> connection.status() == null || !connection.status().draining());
				}
			}
		}
		assertHeartbeatsIncrease();
	}

	@Property(tries = TRIES)
	void everyLiveAgentAcceptsRequestsOnceTheFaultsEnd(@ForAll long seed) {
		Random random = new Random(seed);
		for (int i = 0; i < EVENTS; i++) {
			applyRandomEvent(random);
		}
		List<InstanceRecord> liveAgents = MembershipSession.agentsInDataCentre(1 + random.nextInt(AGENTS));
		long[] activeConnections = new long[liveAgents.size()];
		for (int i = 0; i < liveAgents.size(); i++) {
			activeConnections[i] = ++this.lastConnection;
			this.session.open(activeConnections[i], liveAgents.get(i).id().value(), 1000 + i)
				.announce(activeConnections[i], false);
		}
		this.session.advance(MembershipTimes.SHRUNK_LIST_DISTRUST_MILLIS, activeConnections).readList(liveAgents);
		this.session.advance(MembershipTimes.UNLISTED_RETENTION_MILLIS, activeConnections)
			.readList(liveAgents)
			.advance(1000, activeConnections);
		for (int i = 0; i < AGENTS; i++) {
			assertThat(this.session.canAcceptRequests("a" + i)).as("a" + i).isEqualTo(i < liveAgents.size());
		}
		assertThat(this.session.state().connections().keySet()).hasSize(liveAgents.size());
	}

	private void applyRandomEvent(Random random) {
		long connection = 1 + random.nextInt((int) this.lastConnection + 1);
		switch (random.nextInt(8)) {
			case 0 -> this.session.readList(someAgents(random));
			case 1 -> open(random);
			case 2 -> this.session.apply(new MembershipEvent.ConnectionClosed(connection));
			case 3 -> this.session.announce(connection, random.nextInt(3) == 0);
			case 4 -> this.session.apply(new MembershipEvent.DialFailed(new InstanceId("a" + random.nextInt(AGENTS))));
			case 5 -> this.session.pause(random.nextInt(5000), connection);
			case 6 -> this.session.apply(new MembershipEvent.ListFailed("any"));
			default -> this.session.advance(250L * (1 + random.nextInt(8)), connection, 1 + random.nextInt(3));
		}
	}

	private void open(Random random) {
		String name = "a" + random.nextInt(AGENTS);
		this.session.open(++this.lastConnection, name, random.nextInt(2));
	}

	private static List<InstanceRecord> someAgents(Random random) {
		List<InstanceRecord> listed = new ArrayList<>();
		for (int i = 0; i < AGENTS; i++) {
			if (random.nextBoolean()) {
				listed.add(MembershipSession.agent("a" + i, "dc-a", "r1", random.nextInt(4) == 0));
			}
		}
		return listed;
	}

	private List<ConnectionState> openConnections(InstanceId instance) {
		return this.session.state()
			.connections()
			.values()
			.stream()
			.filter((connection) -> connection.peer().instance().equals(instance))
			.toList();
	}

	private void assertHeartbeatsIncrease() {
		List<Long> sequences = this.session.effects(MembershipEffect.SendHeartbeats.class)
			.stream()
			.map(MembershipEffect.SendHeartbeats::sequence)
			.toList();
		assertThat(sequences).isSorted().doesNotHaveDuplicates();
	}

}
