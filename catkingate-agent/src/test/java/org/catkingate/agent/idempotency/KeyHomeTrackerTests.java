package org.catkingate.agent.idempotency;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.catkingate.decisions.idempotency.KeyHome;
import org.catkingate.decisions.idempotency.ScopedKey;
import org.catkingate.decisions.idempotency.Verdict;
import org.catkingate.decisions.idempotency.VouchingBounds;
import org.catkingate.model.AccountName;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.wire.ConnectionListener;
import org.catkingate.wire.FrameConnection;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.HandshakeMessage;
import org.catkingate.wire.IdempotencyKeyMessage;
import org.catkingate.wire.Message;
import org.catkingate.wire.SharedKey;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Tests for {@link KeyHomeTracker} between agents over real connections.
 */
class KeyHomeTrackerTests {

	private static final SharedKey SHARED_KEY = SharedKey.of("a secret of the tests");

	private static final VouchingBounds BOUNDS = VouchingBounds.defaults();

	private static final long RETENTION_MILLIS = BOUNDS.retentionMillis(TestFleet.REPEAT_WINDOW_MILLIS);

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private final AtomicLong nowMillis = new AtomicLong(1_000);

	private final Map<String, Agent> agents = new HashMap<>();

	private final Map<String, InetSocketAddress> addresses = new HashMap<>();

	@BeforeEach
	void startAgents() throws Exception {
		for (String name : List.of("a", "b", "c")) {
			this.agents.put(name, new Agent(name));
		}
		for (Agent agent : this.agents.values()) {
			this.agents.values().stream().filter((other) -> other != agent).forEach(agent::connect);
		}
		this.agents.values().forEach((agent) -> await().atMost(TIMEOUT).until(() -> agent.open.size() == 2));
		publishList();
		advanceClock(RETENTION_MILLIS);
	}

	@AfterEach
	void stopAgents() {
		this.agents.values().forEach((agent) -> agent.transport.close());
	}

	private void publishList() {
		List<InstanceRecord> list = TestFleet.list(this.addresses);
		this.agents.values().forEach((agent) -> agent.homes.fleetChanged(TestFleet.configuration(3), list));
	}

	private void advanceClock(long millis) {
		this.nowMillis.addAndGet(millis);
		this.agents.values().forEach((agent) -> agent.homes.listConfirmed(this.nowMillis.get()));
	}

	private void tickAll() {
		this.agents.values().forEach((agent) -> agent.homes.tick());
	}

	private Map<String, Verdict.Reason> verdicts(String key) {
		ScopedKey scopedKey = new ScopedKey(new AccountName("bar"), TestFleet.SERVICE, key);
		Map<String, Verdict.Reason> verdicts = new HashMap<>();
		this.agents.forEach((name, agent) -> verdicts.put(name, agent.homes.evaluate(scopedKey, 0).reason()));
		return verdicts;
	}

	private void awaitOneVouchingAgent(String key) {
		await().atMost(TIMEOUT).untilAsserted(() -> assertThat(vouchingAgents(key)).hasSize(1));
	}

	private List<String> vouchingAgents(String key) {
		List<String> vouching = new ArrayList<>();
		verdicts(key).forEach((name, reason) -> {
			if (reason == Verdict.Reason.VOUCHED) {
				vouching.add(name);
			}
		});
		return vouching;
	}

	@Test
	void oneAgentVouchesForEachKeyOnceTheOthersHaveAgreed() {
		assertThat(vouchingAgents("k")).isEmpty();
		tickAll();
		awaitOneVouchingAgent("k");
		awaitOneVouchingAgent("l");
	}

	@Test
	void noAgentVouchesOnceTheStatementsHaveExpired() {
		tickAll();
		awaitOneVouchingAgent("k");
		advanceClock(BOUNDS.maxStatementAgeMillis() + 1);
		assertThat(vouchingAgents("k")).isEmpty();
	}

	@Test
	void theHomeVouchesWhileOneOtherAgentIsSilent() {
		tickAll();
		awaitOneVouchingAgent("k");
		String home = vouchingAgents("k").get(0);
		this.agents.values().stream().filter((agent) -> !agent.name.equals(home)).findFirst().orElseThrow().silence();
		advanceClock(BOUNDS.maxStatementAgeMillis() + 1);
		tickAll();
		awaitOneVouchingAgent("k");
	}

	@Test
	void anAgentCutOffFromTheMajorityDoesNotVouch() {
		tickAll();
		awaitOneVouchingAgent("k");
		Agent home = this.agents.get(vouchingAgents("k").get(0));
		home.silence();
		advanceClock(BOUNDS.maxStatementAgeMillis() + 1);
		tickAll();
		assertThat(verdicts("k")).containsEntry(home.name, Verdict.Reason.NOT_AGREED);
		assertThat(vouchingAgents("k")).isEmpty();
	}

	@Test
	void keysMoveToAnotherAgentOnlyAfterTheRetentionTime() {
		tickAll();
		awaitOneVouchingAgent("k");
		String previous = vouchingAgents("k").get(0);
		this.agents.remove(previous).transport.close();
		this.addresses.remove(previous);
		publishList();
		advanceClock(RETENTION_MILLIS);
		tickAll();
		assertThat(vouchingAgents("k")).isEmpty();
		advanceClock(1);
		tickAll();
		awaitOneVouchingAgent("k");
	}

	/**
	 * An agent that listens for connections and tracks key homes over them.
	 */
	private final class Agent implements ConnectionListener {

		private final String name;

		private final FrameTransport transport;

		private final Map<InstanceId, PeerConnection> open = new ConcurrentHashMap<>();

		private final KeyHomeTracker homes;

		private volatile boolean silent;

		private Agent(String name) throws Exception {
			this.name = name;
			this.transport = FrameTransport.create(1, SHARED_KEY,
					new HandshakeMessage.PeerIdentity(new InstanceId(name), Role.AGENT, name.hashCode(),
							new DataCentreName("ahd-a"), new RegionName("guj-west")));
			InetSocketAddress address = this.transport.listen(new InetSocketAddress("127.0.0.1", 0), this);
			KeyHomeTrackerTests.this.addresses.put(name, address);
			this.homes = KeyHomeTracker.start(KeyHome.of(new InstanceId(name), address), Map.of(TestFleet.SERVICE, 1),
					BOUNDS, (instance) -> Optional.ofNullable(this.open.get(instance)),
					SelfConnectionProbe.create((probed, listener) -> this.transport.connect(probed, listener, () -> {
					}), name.hashCode()), () -> TimeUnit.MILLISECONDS.toNanos(KeyHomeTrackerTests.this.nowMillis.get()),
					KeyHomeTrackerTests.this.nowMillis::get);
		}

		private void connect(Agent other) {
			this.transport.connect(KeyHomeTrackerTests.this.addresses.get(other.name), this, () -> {
			});
		}

		private void silence() {
			this.silent = true;
		}

		@Override
		public void onOpened(FrameConnection connection) {
			this.open.put(connection.peer().instance(), PeerConnection.of(connection));
		}

		@Override
		public void onReceived(FrameConnection connection, Message message) {
			if (!this.silent) {
				this.homes.onReceived(PeerConnection.of(connection), (IdempotencyKeyMessage) message);
			}
		}

		@Override
		public void onClosed(FrameConnection connection, String reason) {
		}

	}

}
