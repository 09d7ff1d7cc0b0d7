package org.catkingate.decisions.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.RunnerId;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.ServiceName;

/**
 * Applies a sequence of events to the reducer and records a transcript of the events and
 * their effects. Not thread-safe.
 */
final class MembershipSession {

	private final MembershipReducer reducer = MembershipReducer.create();

	private final StringBuilder transcript = new StringBuilder();

	private final List<Effect> effects = new ArrayList<>();

	private String lastFormatted = "";

	private long now = 1000;

	private MembershipState state;

	private MembershipSession(ProcessIdentity self) {
		this.state = MembershipState.starting(self, this.now);
	}

	static MembershipSession of(Role role) {
		return new MembershipSession(new ProcessIdentity(new InstanceId("self"), role, 1, new DataCentreName("dc-a"),
				new RegionName("r1"), Labels.of(Map.of("role", "gpu"))));
	}

	static InstanceRecord agent(String name, String dataCentre, String region) {
		return agent(name, dataCentre, region, false);
	}

	static InstanceRecord agent(String name, String dataCentre, String region, boolean leaving) {
		return new InstanceRecord(new InstanceId(name), Role.AGENT, new InetSocketAddress("127.0.0.1", 7000),
				new DataCentreName(dataCentre), new RegionName(region), Labels.of(Map.of("role", "gpu")), leaving);
	}

	static List<InstanceRecord> agentsInDataCentre(int count) {
		List<InstanceRecord> agents = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			agents.add(agent("a" + i, "dc-a", "r1"));
		}
		return agents;
	}

	MembershipSession apply(MembershipEvent event) {
		this.transcript.append(this.now).append(" ").append(event).append('\n');
		reduce(event);
		return this;
	}

	MembershipSession readList(List<InstanceRecord> instances) {
		return apply(new MembershipEvent.ListRead(1, instances));
	}

	MembershipSession open(long connection, String name) {
		return open(connection, name, 7);
	}

	MembershipSession open(long connection, String name, long incarnation) {
		return connect(connection, true, name, incarnation);
	}

	MembershipSession accept(long connection, String name) {
		return connect(connection, false, name, 7);
	}

	private MembershipSession connect(long connection, boolean dialled, String name, long incarnation) {
		return apply(new MembershipEvent.ConnectionOpened(connection, dialled, new MembershipEvent.Peer(
				new InstanceId(name), Role.AGENT, incarnation, new DataCentreName("dc-a"), new RegionName("r1"))));
	}

	MembershipSession announce(long connection, boolean draining) {
		RunnerStatus runner = new RunnerStatus(new RunnerId("r"), new ServiceName("s"), null, null, true);
		return apply(new MembershipEvent.StatusAnnounced(connection, draining, Labels.none(), List.of(runner)));
	}

	MembershipSession advance(long millis, long... activeConnections) {
		this.transcript.append(this.now).append(" advance ").append(millis).append(" ms\n");
		long end = this.now + millis;
		while (this.now < end) {
			this.now += Math.min(MembershipTimes.TICK_MILLIS, end - this.now);
			reduce(new MembershipEvent.Ticked(activity(activeConnections)));
		}
		return this;
	}

	MembershipSession pause(long millis, long... activeConnections) {
		this.transcript.append(this.now).append(" pause ").append(millis).append(" ms\n");
		List<MembershipEvent.ConnectionActivity> activity = activity(activeConnections);
		this.now += millis;
		reduce(new MembershipEvent.Ticked(activity));
		return this;
	}

	private List<MembershipEvent.ConnectionActivity> activity(long... connections) {
		List<MembershipEvent.ConnectionActivity> activity = new ArrayList<>();
		for (long connection : connections) {
			activity.add(new MembershipEvent.ConnectionActivity(connection, this.now, this.state.heartbeatSequence(),
					List.of(1), this.now));
		}
		return activity;
	}

	private void reduce(MembershipEvent event) {
		ReductionResult<MembershipState> result = this.reducer.reduce(this.state, this.now, event);
		this.state = result.state();
		this.effects.addAll(result.effects());
		result.effects().forEach(this::write);
	}

	private void write(Effect effect) {
		if (effect instanceof MembershipEffect.SendHeartbeats) {
			return;
		}
		String text = (effect instanceof MembershipEffect.PublishSnapshot published) ? format(published.snapshot())
				: effect.toString();
		if (!text.equals(this.lastFormatted)) {
			this.transcript.append(this.now).append("   -> ").append(text).append('\n');
		}
		this.lastFormatted = text;
	}

	private static String format(FleetSnapshot snapshot) {
		return snapshot.agents()
			.values()
			.stream()
			.sorted((first, second) -> first.instance().id().compareTo(second.instance().id()))
			.map(MembershipSession::format)
			.collect(Collectors.joining(" ", "snapshot ", ""));
	}

	private static String format(AgentView agent) {
		return agent.instance().id() + (agent.reachable() ? "+" : "-") + (agent.draining() ? "draining" : "")
				+ (agent.canAcceptRequests() ? "*" + agent.runners().size() : "");
	}

	AgentView agent(String name) {
		return this.state.snapshot().agents().get(new InstanceId(name));
	}

	boolean canAcceptRequests(String name) {
		AgentView agent = agent(name);
		return agent != null && agent.canAcceptRequests();
	}

	<E extends Effect> List<E> effects(Class<E> type) {
		return this.effects.stream().filter(type::isInstance).map(type::cast).toList();
	}

	MembershipState state() {
		return this.state;
	}

	String transcript() {
		return this.transcript.toString();
	}

}
