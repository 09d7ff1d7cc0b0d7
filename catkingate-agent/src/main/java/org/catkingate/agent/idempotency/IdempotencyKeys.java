package org.catkingate.agent.idempotency;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import org.catkingate.decisions.idempotency.KeyHome;
import org.catkingate.decisions.idempotency.KeyState;
import org.catkingate.decisions.idempotency.VouchingTimes;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.ServiceName;
import org.catkingate.model.published.PublishedConfiguration;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerConnections;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.wire.Keys;

/**
 * Everything about the keys of non-idempotent calls at one agent. Whoever runs the agent
 * tells it of lists, configurations, confirmations, messages and ticks. Safe for use by
 * any thread; never blocks on I/O.
 *
 * @since 0.1
 */
public final class IdempotencyKeys {

	/** The interval of {@link #tick()}, in milliseconds. */
	public static final long TICK_MILLIS = 1_000;

	private final KeyHomeTracker homes;

	private final KeyIssuer keyIssuer;

	private final IdempotencyKeyGuard callGuard;

	private IdempotencyKeys(KeyHomeTracker exchange, KeyIssuer tickets, IdempotencyKeyGuard table) {
		this.homes = exchange;
		this.keyIssuer = tickets;
		this.callGuard = table;
	}

	/**
	 * Starts without memory.
	 * @param listening the agent, with the address that it listens on
	 * @param incarnation the incarnation that the agent proves to its peers
	 * @param ownRunners how many runners of each service it has
	 * @param times the bounds
	 * @param peers the connections to other processes
	 * @param selfDial tells whether an address leads to this process
	 * @param clock the monotonic clock
	 * @param wallMillis the wall clock, in milliseconds since 1970
	 * @return the keys, never null
	 */
	public static IdempotencyKeys start(KeyHome listening, long incarnation, Map<ServiceName, Integer> ownRunners,
			VouchingTimes times, PeerConnections peers, SelfDial selfDial, MonotonicClock clock,
			LongSupplier wallMillis) {
		KeyHomeTracker exchange = KeyHomeTracker.start(listening, ownRunners, times, peers, selfDial, clock,
				wallMillis);
		KeyIssuer tickets = KeyIssuer.create(listening.instance(), incarnation, clock);
		return new IdempotencyKeys(exchange, tickets, IdempotencyKeyGuard.create(exchange, tickets, clock));
	}

	/**
	 * Returns what decides on each call.
	 * @return the guard, never null
	 */
	public CallGuard guard() {
		return this.callGuard;
	}

	/**
	 * Learns what the fleet looks like. To be told of every list read and configuration.
	 * @param configuration the configuration in force
	 * @param instances the platform's list as it was read last, this agent's own line
	 * included
	 */
	public void fleet(PublishedConfiguration configuration, List<InstanceRecord> instances) {
		this.homes.fleetChanged(configuration, instances);
	}

	/**
	 * Learns that the platform has confirmed the list. To be told after
	 * {@link #fleet(PublishedConfiguration, List)} if the list has changed.
	 * @param askedAtMillis when the read that it answers was sent, in milliseconds of the
	 * monotonic clock
	 */
	public void listConfirmed(long askedAtMillis) {
		this.homes.listConfirmed(askedAtMillis);
	}

	/**
	 * Finds the agents that this one must be connected to, to vouch for keys.
	 * @return the instances in order, without this agent's own
	 */
	public Set<InstanceId> neededPeers() {
		return this.homes.neededPeers();
	}

	/**
	 * Asks the other agents. To be called every {@link #TICK_MILLIS}.
	 */
	public void tick() {
		this.homes.tick();
	}

	/**
	 * Takes a message.
	 * @param connection the connection
	 * @param message the message
	 */
	public void received(PeerConnection connection, Keys message) {
		if (message instanceof Keys.IssueKey wanted) {
			String key = this.keyIssuer.issue(wanted.account(), wanted.service());
			connection.frames().send(new Keys.IssuedKey(wanted.request(), key, KeyIssuer.KEY_VALIDITY_MILLIS));
			return;
		}
		this.homes.received(connection, message);
	}

	/**
	 * Makes a listener that takes the messages about keys and leaves the rest to another.
	 * @param others is told of everything else
	 * @return the listener, never null
	 */
	public PeerListener before(PeerListener others) {
		return new KeyMessageListener(this, others);
	}

	/**
	 * Returns what has become of calls since the agent started.
	 * @return the counts, never null
	 */
	public KeyCounts counts() {
		return this.callGuard.counts();
	}

	/**
	 * Returns what is known of the homes of keys, for the dump of the process's state.
	 * @return the state, never null
	 */
	public KeyState state() {
		return this.homes.state();
	}

}
