package org.catkingate.agent.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Step;
import org.catkingate.decisions.idempotency.HomeView;
import org.catkingate.decisions.idempotency.KeyEffect;
import org.catkingate.decisions.idempotency.KeyEvent;
import org.catkingate.decisions.idempotency.KeyHome;
import org.catkingate.decisions.idempotency.KeyReducer;
import org.catkingate.decisions.idempotency.KeyRouting;
import org.catkingate.decisions.idempotency.KeyScope;
import org.catkingate.decisions.idempotency.KeyState;
import org.catkingate.decisions.idempotency.KeyStatement;
import org.catkingate.decisions.idempotency.ServiceKeys;
import org.catkingate.decisions.idempotency.ServiceView;
import org.catkingate.decisions.idempotency.Verdict;
import org.catkingate.decisions.idempotency.Vouching;
import org.catkingate.decisions.idempotency.VouchingTimes;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Role;
import org.catkingate.model.ServiceName;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.Service;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerConnections;
import org.catkingate.wire.Keys;

/**
 * Keeps the agent's knowledge of the homes of keys: learns from the fleet's snapshots,
 * the list's confirmations and the other agents' statements, and makes its own. Safe for
 * use by any thread; never blocks on I/O.
 *
 * @since 0.1
 */
public final class KeyHomeTracker {

	private final KeyReducer reducer;

	private final Vouching vouching;

	private final VouchingTimes times;

	private final Map<ServiceName, Integer> ownRunners;

	private final PeerConnections peers;

	private final MonotonicClock clock;

	private final LongSupplier wallMillis;

	private final SelfDial selfProbe;

	private KeyState state;

	private volatile InstanceRecord ownRecord;

	private KeyHomeTracker(KeyHome listening, Map<ServiceName, Integer> ownRunners, VouchingTimes times,
			PeerConnections peers, SelfDial selfDial, MonotonicClock clock, LongSupplier wallMillis) {
		this.reducer = KeyReducer.with(times);
		this.vouching = Vouching.with(times);
		this.times = times;
		this.ownRunners = Map.copyOf(ownRunners);
		this.peers = peers;
		this.selfProbe = selfDial;
		this.clock = clock;
		this.wallMillis = wallMillis;
		this.state = KeyState.starting(listening);
	}

	/**
	 * Starts without knowledge.
	 * @param listening the agent, with the address that it listens on
	 * @param ownRunners how many runners of each service it has
	 * @param times the bounds
	 * @param peers the connections to other agents
	 * @param selfDial tells whether an address leads to this process
	 * @param clock the monotonic clock
	 * @param wallMillis the wall clock, in milliseconds since 1970
	 * @return the exchange, never null
	 */
	public static KeyHomeTracker start(KeyHome listening, Map<ServiceName, Integer> ownRunners, VouchingTimes times,
			PeerConnections peers, SelfDial selfDial, MonotonicClock clock, LongSupplier wallMillis) {
		Objects.requireNonNull(peers, "peers must not be null");
		return new KeyHomeTracker(listening, ownRunners, times, peers, selfDial, clock, wallMillis);
	}

	/**
	 * Learns what the fleet looks like. To be told of every list and configuration.
	 * @param configuration the configuration in force
	 * @param instances the platform's list as it was read last, this agent's own line
	 * included
	 */
	public void fleetChanged(PublishedConfiguration configuration, List<InstanceRecord> instances) {
		List<InstanceRecord> agents = instances.stream().filter((instance) -> instance.role() == Role.AGENT).toList();
		List<ServiceView> services = new ArrayList<>();
		for (Service service : configuration.services().values()) {
			int runners = this.ownRunners.getOrDefault(service.name(), 0);
			if (runners > 0 && service.takesCallersKeys()) {
				HomeView view = KeyRouting.view(configuration, service, agents);
				services.add(new ServiceView(service.name(), service.repeatWindowMillis(), runners, view));
			}
		}
		apply(new KeyEvent.ServicesSeen(services));
		this.ownRecord = ownRecord(agents);
	}

	private InstanceRecord ownRecord(List<InstanceRecord> agents) {
		InstanceId own = state().listening().instance();
		return agents.stream().filter((agent) -> agent.id().equals(own)).findFirst().orElse(null);
	}

	private void probeOwnRecord() {
		InstanceRecord line = this.ownRecord;
		if (line != null && !KeyHome.of(line).equals(state().own())) {
			this.selfProbe.probe(line.address(), () -> apply(new KeyEvent.MetItself(KeyHome.of(line))));
		}
	}

	/**
	 * Learns that the platform has confirmed the list that the snapshots are made from.
	 * @param askedAtMillis when the read that it answers was sent, in milliseconds of the
	 * monotonic clock
	 */
	public void listConfirmed(long askedAtMillis) {
		apply(new KeyEvent.ListConfirmed(askedAtMillis));
	}

	/**
	 * Asks the other agents. To be called once a second.
	 */
	public void tick() {
		probeOwnRecord();
		apply(new KeyEvent.AskTime());
	}

	/**
	 * Takes a message of another agent.
	 * @param connection the connection
	 * @param message the message
	 */
	public void received(PeerConnection connection, Keys message) {
		InstanceId sender = connection.frames().peer().instance();
		if (message instanceof Keys.ViewQuestion question) {
			apply(new KeyEvent.Asked(sender, question.service(), question.askedAtMillis()));
		}
		else if (message instanceof Keys.ViewStatement statement) {
			apply(new KeyEvent.Stated(sender, statement.service(), statement.askedAtMillis(),
					statement(sender, statement)));
		}
	}

	private static KeyStatement statement(InstanceId sender, Keys.ViewStatement message) {
		KeyHome speaker = new KeyHome(sender, message.host(), message.port());
		List<KeyStatement.StatedView> views = message.views()
			.stream()
			.map((view) -> new KeyStatement.StatedView(view.fingerprint(), view.endedMillisAgo()))
			.toList();
		return new KeyStatement(speaker, message.runners(), message.coveredMillis(), views);
	}

	/**
	 * Finds the agents that this one must be connected to, to vouch for keys.
	 * @return the instances in order, without this agent's own
	 */
	public Set<InstanceId> neededPeers() {
		KeyState known = state();
		Set<InstanceId> needed = new TreeSet<>();
		for (ServiceKeys service : known.services().values()) {
			if (service.members().size() <= Service.MOST_AGENTS_FOR_KEYS) {
				service.members().forEach((member) -> needed.add(member.instance()));
			}
		}
		needed.remove(known.own().instance());
		return needed;
	}

	/**
	 * Judges a caller's key.
	 * @param scope the key
	 * @param heldMillis for how long the agent has had the call, in milliseconds
	 * @return the verdict, never null
	 */
	Verdict evaluate(KeyScope scope, long heldMillis) {
		return this.vouching.judge(state(), scope, heldMillis, this.clock.millis(), this.wallMillis.getAsLong());
	}

	/**
	 * For how long the outcome of a call must be remembered after its end.
	 * @param service the service
	 * @return the span, in milliseconds
	 */
	long retentionMillis(ServiceName service) {
		KeyState known = state();
		long window = (known.services().containsKey(service)) ? known.services().get(service).repeatWindowMillis() : 0;
		return this.times.retentionMillis(window);
	}

	/**
	 * Returns what is known now, for the dump of the process's state.
	 * @return the state, never null
	 */
	public synchronized KeyState state() {
		return this.state;
	}

	private void apply(KeyEvent event) {
		List<Effect> effects;
		synchronized (this) {
			Step<KeyState> step = this.reducer.reduce(this.state, this.clock.millis(), event);
			this.state = step.state();
			effects = step.effects();
		}
		effects.forEach(this::execute);
	}

	private void execute(Effect effect) {
		if (effect instanceof KeyEffect.Ask ask) {
			send(ask.agent(), new Keys.ViewQuestion(ask.service(), ask.askedAtMillis()));
		}
		else if (effect instanceof KeyEffect.Answer answer) {
			send(answer.agent(), message(answer));
		}
	}

	private static Keys message(KeyEffect.Answer answer) {
		KeyStatement statement = answer.statement();
		List<Keys.HeldView> views = statement.views()
			.stream()
			.map((view) -> new Keys.HeldView(view.fingerprint(), view.endedMillisAgo()))
			.toList();
		return new Keys.ViewStatement(answer.service(), answer.askedAtMillis(), statement.speaker().host(),
				statement.speaker().port(), statement.runners(), statement.coveredMillis(), views);
	}

	private void send(InstanceId agent, Keys message) {
		this.peers.to(agent).ifPresent((connection) -> connection.frames().send(message));
	}

}
