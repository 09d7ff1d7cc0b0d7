package org.catkingate.tests.requests;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.catkingate.agent.idempotency.CallGuard;
import org.catkingate.agent.idempotency.IdempotencyDecision;
import org.catkingate.agent.idempotency.NonIdempotentCall;
import org.catkingate.agent.idempotency.RunPermit;
import org.catkingate.agent.requests.AgentRequestHandler;
import org.catkingate.agent.requests.AgentRequestSettings;
import org.catkingate.agent.requests.RunnerEndpoint;
import org.catkingate.agent.runners.RunnerGate;
import org.catkingate.decisions.idempotency.StoredResponse;
import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.RegionName;
import org.catkingate.model.Role;
import org.catkingate.model.RunnerId;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.wire.FrameTransport;
import org.catkingate.wire.HandshakeMessage;

/**
 * An agent in this process with one runner. Not thread-safe.
 */
final class LocalAgent implements AutoCloseable {

	static final RunnerId RUNNER = new RunnerId("r1");

	private static final DataCentreName DATA_CENTRE = new DataCentreName("ahd-a");

	private static final RegionName REGION = new RegionName("guj-west");

	private final AtomicLong heartbeatAgeMillis = new AtomicLong();

	private final InstanceId instance;

	private final RunnerGate gate;

	private final VersionId version;

	private final Digest digest;

	private final FrameTransport transport;

	private final AgentRequestHandler requestHandler;

	private final InetSocketAddress address;

	private boolean draining;

	LocalAgent(String name, ServiceName service, VersionId version, Digest digest, InetSocketAddress runner,
			Supplier<FleetSnapshot> fleet) throws IOException {
		this.instance = new InstanceId(name);
		this.version = version;
		this.digest = digest;
		this.gate = RunnerGate.closed(RUNNER, service);
		this.gate.open(version, digest);
		this.transport = FrameTransport.create(1, LocalFleet.SHARED_KEY, identity(name, Role.AGENT, System.nanoTime()));
		this.requestHandler = AgentRequestHandler.start(List.of(new RunnerEndpoint(this.gate, runner)), fleet,
				(sequence) -> this.heartbeatAgeMillis.get(), new PermissiveGuard(), MonotonicClock.system(),
				AgentRequestSettings.defaults());
		this.address = this.transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
				new PeerListenerAdapter(this.requestHandler));
	}

	static HandshakeMessage.PeerIdentity identity(String name, Role role, long incarnation) {
		return new HandshakeMessage.PeerIdentity(new InstanceId(name), role, incarnation, DATA_CENTRE, REGION);
	}

	AgentView view() {
		RunnerStatus status = new RunnerStatus(RUNNER, this.gate.service(), this.version, this.digest, true);
		return view(this.instance, this.address, status, this.draining);
	}

	static AgentView view(InstanceId instance, InetSocketAddress address, RunnerStatus status, boolean draining) {
		InstanceRecord record = new InstanceRecord(instance, Role.AGENT, address, DATA_CENTRE, REGION,
				Labels.of(Map.of("role", "gpu")), false);
		return new AgentView(record, 1, true, draining, List.of(status), List.of(), 0);
	}

	InstanceId instance() {
		return this.instance;
	}

	InetSocketAddress address() {
		return this.address;
	}

	RunnerGate gate() {
		return this.gate;
	}

	AgentRequestHandler requestHandler() {
		return this.requestHandler;
	}

	void setHeartbeatAgeMillis(long millis) {
		this.heartbeatAgeMillis.set(millis);
	}

	void drain() {
		this.draining = true;
		this.requestHandler.drain();
	}

	@Override
	public void close() {
		this.transport.close();
		this.requestHandler.close();
	}

	/**
	 * A guard that allows every call to run and is the permit of each.
	 */
	private static final class PermissiveGuard implements CallGuard, RunPermit {

		@Override
		public IdempotencyDecision admit(NonIdempotentCall call) {
			return new IdempotencyDecision.Run(this);
		}

		@Override
		public boolean tryStart() {
			return true;
		}

		@Override
		public void abandon() {
		}

		@Override
		public void recordHead(int status, List<StoredResponse.Header> headers) {
		}

		@Override
		public void recordBody(byte[] bytes) {
		}

		@Override
		public void complete() {
		}

		@Override
		public void fail() {
		}

	}

}
