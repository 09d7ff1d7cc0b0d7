package org.catkingate.agent.idempotency;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;

import org.catkingate.decisions.Effect;
import org.catkingate.decisions.ReductionResult;
import org.catkingate.decisions.idempotency.HomeView;
import org.catkingate.decisions.idempotency.KeyEffect;
import org.catkingate.decisions.idempotency.KeyEvent;
import org.catkingate.decisions.idempotency.KeyHome;
import org.catkingate.decisions.idempotency.KeyReducer;
import org.catkingate.decisions.idempotency.KeyRouter;
import org.catkingate.decisions.idempotency.KeyState;
import org.catkingate.decisions.idempotency.KeyStatement;
import org.catkingate.decisions.idempotency.ScopedKey;
import org.catkingate.decisions.idempotency.ServiceKeyState;
import org.catkingate.decisions.idempotency.ServiceObservation;
import org.catkingate.decisions.idempotency.Verdict;
import org.catkingate.decisions.idempotency.VouchingBounds;
import org.catkingate.decisions.idempotency.VouchingEvaluator;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Role;
import org.catkingate.model.ServiceName;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.model.published.Service;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerConnections;
import org.catkingate.wire.IdempotencyKeyMessage;

/**
 * Tracker of the homes of idempotency keys. The home of a key is the agent of its service
 * that is responsible for it. The tracker applies configurations, lists of instances,
 * their confirmations and the statements of other agents about their views of a service
 * to a {@link KeyState}, sends this agent's own statements, and evaluates whether this
 * agent may vouch for a key. Safe for use by any thread; never blocks on I/O.
 *
 * @since 0.1
 */
public final class KeyHomeTracker {

	private final KeyReducer reducer;

	private final VouchingEvaluator vouchingEvaluator;

	private final VouchingBounds bounds;

	private final Map<ServiceName, Integer> ownRunners;

	private final PeerConnections peers;

	private final MonotonicClock clock;

	private final LongSupplier wallMillis;

	private final SelfConnectionProbe selfProbe;

	private KeyState state;

	private volatile InstanceRecord ownRecord;

	private KeyHomeTracker(KeyHome listening, Map<ServiceName, Integer> ownRunners, VouchingBounds bounds,
			PeerConnections peers, SelfConnectionProbe selfProbe, MonotonicClock clock, LongSupplier wallMillis) {
		this.reducer = KeyReducer.with(bounds);
		this.vouchingEvaluator = VouchingEvaluator.with(bounds);
		this.bounds = bounds;
		this.ownRunners = Map.copyOf(ownRunners);
		this.peers = peers;
		this.selfProbe = selfProbe;
		this.clock = clock;
		this.wallMillis = wallMillis;
		this.state = KeyState.starting(listening);
	}

	/**
	 * Starts with an empty state.
	 * @param listening the agent, with the address that it listens on
	 * @param ownRunners the number of the agent's runners by service
	 * @param bounds the time bounds of vouching
	 * @param peers the connections to other agents
	 * @param selfProbe checks whether an address leads to this process
	 * @param clock the monotonic clock
	 * @param wallMillis the wall clock, in milliseconds since 1970
	 * @return the tracker, never null
	 */
	public static KeyHomeTracker start(KeyHome listening, Map<ServiceName, Integer> ownRunners, VouchingBounds bounds,
			PeerConnections peers, SelfConnectionProbe selfProbe, MonotonicClock clock, LongSupplier wallMillis) {
		Objects.requireNonNull(peers, "peers must not be null");
		return new KeyHomeTracker(listening, ownRunners, bounds, peers, selfProbe, clock, wallMillis);
	}

	/**
	 * Updates the configuration and the list of instances. Must be called for every list
	 * and configuration.
	 * @param configuration the configuration in force
	 * @param instances the platform's list as read last, including this agent's own
	 * record
	 */
	public void fleetChanged(PublishedConfiguration configuration, List<InstanceRecord> instances) {
		List<InstanceRecord> agents = instances.stream().filter((instance) -> instance.role() == Role.AGENT).toList();
		List<ServiceObservation> services = new ArrayList<>();
		for (Service service : configuration.services().values()) {
			int runners = this.ownRunners.getOrDefault(service.name(), 0);
			if (runners > 0 && service.acceptsCallerKeys()) {
				HomeView view = KeyRouter.view(configuration, service, agents);
				services.add(new ServiceObservation(service.name(), service.repeatWindowMillis(), runners, view));
			}
		}
		apply(new KeyEvent.ServicesObserved(services));
		this.ownRecord = ownRecord(agents);
	}

	private InstanceRecord ownRecord(List<InstanceRecord> agents) {
		InstanceId own = state().listening().instance();
		return agents.stream().filter((agent) -> agent.id().equals(own)).findFirst().orElse(null);
	}

	private void probeOwnAddress() {
		InstanceRecord own = this.ownRecord;
		if (own != null && !KeyHome.of(own).equals(state().own())) {
			this.selfProbe.probe(own.address(), () -> apply(new KeyEvent.OwnAddressConfirmed(KeyHome.of(own))));
		}
	}

	/**
	 * Records that the platform has confirmed the list of instances.
	 * @param requestedAtMillis the time at which the confirmed read was sent, in
	 * milliseconds of the monotonic clock
	 */
	public void listConfirmed(long requestedAtMillis) {
		apply(new KeyEvent.ListConfirmed(requestedAtMillis));
	}

	/**
	 * Requests statements from the other agents, and probes the address of this agent on
	 * the instance list if that address is not confirmed yet. Must be called once a
	 * second.
	 */
	public void tick() {
		probeOwnAddress();
		apply(new KeyEvent.StatementsDue());
	}

	/**
	 * Handles a message of another agent.
	 * @param connection the connection
	 * @param message the message
	 */
	public void onReceived(PeerConnection connection, IdempotencyKeyMessage message) {
		InstanceId sender = connection.frameConnection().peer().instance();
		if (message instanceof IdempotencyKeyMessage.StatementRequest request) {
			apply(new KeyEvent.StatementRequested(sender, request.service(), request.requestedAtMillis()));
		}
		else if (message instanceof IdempotencyKeyMessage.StatementResponse response) {
			apply(new KeyEvent.StatementReceived(sender, response.service(), response.requestedAtMillis(),
					toStatement(sender, response)));
		}
	}

	private static KeyStatement toStatement(InstanceId sender, IdempotencyKeyMessage.StatementResponse message) {
		KeyHome author = new KeyHome(sender, message.host(), message.port());
		List<KeyStatement.StatedView> views = message.views()
			.stream()
			.map((view) -> new KeyStatement.StatedView(view.fingerprint(), view.endedMillisAgo()))
			.toList();
		return new KeyStatement(author, message.runners(), message.coveredMillis(), views);
	}

	/**
	 * Returns the agents that this agent must be connected to in order to vouch for keys.
	 * @return the instances in their natural order, without this agent's own
	 */
	public Set<InstanceId> neededPeers() {
		KeyState current = state();
		Set<InstanceId> needed = new TreeSet<>();
		for (ServiceKeyState service : current.services().values()) {
			if (service.members().size() <= Service.MAX_AGENTS_FOR_CALLER_KEYS) {
				service.members().forEach((member) -> needed.add(member.instance()));
			}
		}
		needed.remove(current.own().instance());
		return needed;
	}

	/**
	 * Evaluates whether this agent may vouch for a caller's key.
	 * @param scopedKey the key
	 * @param heldMillis how long ago the agent received the call, in milliseconds
	 * @return the verdict, never null
	 */
	Verdict evaluate(ScopedKey scopedKey, long heldMillis) {
		return this.vouchingEvaluator.evaluate(state(), scopedKey, heldMillis, this.clock.millis(),
				this.wallMillis.getAsLong());
	}

	/**
	 * Returns how long the outcome of a call must be remembered after its end.
	 * @param service the service
	 * @return the duration, in milliseconds
	 */
	long retentionMillis(ServiceName service) {
		KeyState current = state();
		long repeatWindowMillis = (current.services().containsKey(service))
				? current.services().get(service).repeatWindowMillis() : 0;
		return this.bounds.retentionMillis(repeatWindowMillis);
	}

	/**
	 * Returns the current state, for the dump of the process's state.
	 * @return the state, never null
	 */
	public synchronized KeyState state() {
		return this.state;
	}

	private void apply(KeyEvent event) {
		List<Effect> effects;
		synchronized (this) {
			ReductionResult<KeyState> result = this.reducer.reduce(this.state, this.clock.millis(), event);
			this.state = result.state();
			effects = result.effects();
		}
		effects.forEach(this::execute);
	}

	private void execute(Effect effect) {
		if (effect instanceof KeyEffect.RequestStatement request) {
			send(request.agent(),
					new IdempotencyKeyMessage.StatementRequest(request.service(), request.requestedAtMillis()));
		}
		else if (effect instanceof KeyEffect.SendStatement response) {
			send(response.agent(), toMessage(response));
		}
	}

	private static IdempotencyKeyMessage toMessage(KeyEffect.SendStatement response) {
		KeyStatement statement = response.statement();
		List<IdempotencyKeyMessage.ServiceView> views = statement.views()
			.stream()
			.map((view) -> new IdempotencyKeyMessage.ServiceView(view.fingerprint(), view.endedMillisAgo()))
			.toList();
		return new IdempotencyKeyMessage.StatementResponse(response.service(), response.requestedAtMillis(),
				statement.author().host(), statement.author().port(), statement.runners(), statement.coveredMillis(),
				views);
	}

	private void send(InstanceId agent, IdempotencyKeyMessage message) {
		this.peers.to(agent).ifPresent((connection) -> connection.frameConnection().send(message));
	}

}
