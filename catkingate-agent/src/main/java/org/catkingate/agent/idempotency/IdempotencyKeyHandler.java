package org.catkingate.agent.idempotency;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import org.catkingate.decisions.idempotency.KeyHome;
import org.catkingate.decisions.idempotency.KeyState;
import org.catkingate.decisions.idempotency.VouchingBounds;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.ServiceName;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerConnections;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.wire.IdempotencyKeyMessage;

/**
 * A handler of the idempotency keys of one agent: it issues keys, decides on calls and
 * exchanges key homes with other agents. The owner must pass on configurations, lists of
 * instances and their confirmations, messages and ticks. Safe for use by any thread;
 * never blocks on I/O.
 *
 * @since 0.1
 */
public final class IdempotencyKeyHandler {

	/** The interval of {@link #tick()}, in milliseconds. */
	public static final long TICK_MILLIS = 1_000;

	private final KeyHomeTracker homes;

	private final KeyIssuer keyIssuer;

	private final IdempotencyKeyGuard callGuard;

	private IdempotencyKeyHandler(KeyHomeTracker homes, KeyIssuer keyIssuer, IdempotencyKeyGuard callGuard) {
		this.homes = homes;
		this.keyIssuer = keyIssuer;
		this.callGuard = callGuard;
	}

	/**
	 * Starts with no remembered keys.
	 * @param listening the agent, with the address that it listens on
	 * @param incarnation the incarnation that the agent proves to its peers
	 * @param ownRunners the number of the agent's runners by service
	 * @param bounds the time bounds of vouching
	 * @param peers the connections to other processes
	 * @param selfProbe checks whether an address leads to this process
	 * @param clock the monotonic clock
	 * @param wallMillis the wall clock, in milliseconds since 1970
	 * @return the handler, never null
	 */
	public static IdempotencyKeyHandler start(KeyHome listening, long incarnation, Map<ServiceName, Integer> ownRunners,
			VouchingBounds bounds, PeerConnections peers, SelfConnectionProbe selfProbe, MonotonicClock clock,
			LongSupplier wallMillis) {
		KeyHomeTracker homes = KeyHomeTracker.start(listening, ownRunners, bounds, peers, selfProbe, clock, wallMillis);
		KeyIssuer keyIssuer = KeyIssuer.create(listening.instance(), incarnation, clock);
		return new IdempotencyKeyHandler(homes, keyIssuer, IdempotencyKeyGuard.create(homes, keyIssuer, clock));
	}

	/**
	 * Returns the guard that decides on each non-idempotent call.
	 * @return the guard, never null
	 */
	public CallGuard guard() {
		return this.callGuard;
	}

	/**
	 * Updates the configuration and the list of instances. Must be called for every list
	 * that was read and for every new configuration.
	 * @param configuration the configuration in force
	 * @param instances the platform's list as read last, including this agent's own
	 * record
	 */
	public void fleetChanged(PublishedConfiguration configuration, List<InstanceRecord> instances) {
		this.homes.fleetChanged(configuration, instances);
	}

	/**
	 * Records that the platform has confirmed the list. Must be called after
	 * {@link #fleetChanged(PublishedConfiguration, List)} if the list has changed.
	 * @param requestedAtMillis the time at which the confirmed read was sent, in
	 * milliseconds of the monotonic clock
	 */
	public void listConfirmed(long requestedAtMillis) {
		this.homes.listConfirmed(requestedAtMillis);
	}

	/**
	 * Returns the agents that this agent must be connected to in order to vouch for keys.
	 * @return the instances in their natural order, without this agent's own
	 */
	public Set<InstanceId> neededPeers() {
		return this.homes.neededPeers();
	}

	/**
	 * Requests statements from the other agents about their views of the services. Must
	 * be called every {@link #TICK_MILLIS}.
	 */
	public void tick() {
		this.homes.tick();
	}

	/**
	 * Handles a message about keys.
	 * @param connection the connection
	 * @param message the message
	 */
	public void onReceived(PeerConnection connection, IdempotencyKeyMessage message) {
		if (message instanceof IdempotencyKeyMessage.IssueKeyRequest request) {
			String key = this.keyIssuer.issue(request.account(), request.service());
			connection.frameConnection()
				.send(new IdempotencyKeyMessage.IssueKeyResponse(request.request(), key,
						KeyIssuer.KEY_VALIDITY_MILLIS));
			return;
		}
		this.homes.onReceived(connection, message);
	}

	/**
	 * Creates a listener that handles the messages about keys and passes all other events
	 * on.
	 * @param delegate receives all other events
	 * @return the listener, never null
	 */
	public PeerListener interceptKeyMessages(PeerListener delegate) {
		return new KeyMessageListener(this, delegate);
	}

	/**
	 * Returns the number of calls with a key since the agent started, by outcome.
	 * @return the counts, never null
	 */
	public KeyCounts counts() {
		return this.callGuard.counts();
	}

	/**
	 * Returns the state of the key homes, for the dump of the process's state.
	 * @return the state, never null
	 */
	public KeyState state() {
		return this.homes.state();
	}

}
