package org.catkingate.bench.requests;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import org.catkingate.agent.idempotency.IdempotencyDecision;
import org.catkingate.agent.requests.AgentRequestHandler;
import org.catkingate.agent.requests.AgentRequestSettings;
import org.catkingate.agent.requests.RunnerEndpoint;
import org.catkingate.agent.runners.RunnerGate;
import org.catkingate.decisions.membership.AgentView;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.InstanceId;
import org.catkingate.model.InstanceRecord;
import org.catkingate.model.Labels;
import org.catkingate.model.Role;
import org.catkingate.model.RunnerId;
import org.catkingate.model.RunnerStatus;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.standins.engine.Engine;
import org.catkingate.wire.FrameTransport;

/**
 * An agent with one engine, run in the process of the benchmark. Safe for use by any
 * thread.
 */
final class EngineAgent implements AutoCloseable {

	private static final RunnerId RUNNER = new RunnerId("r1");

	private final InstanceId instance;

	private final Engine engine;

	private final FrameTransport transport;

	private final AgentRequestHandler requestHandler;

	private final InetSocketAddress address;

	EngineAgent(String name, Supplier<FleetSnapshot> fleet, String... engineOptions) throws IOException {
		this.instance = new InstanceId(name);
		this.engine = Engine.start(withInitialWeights(engineOptions));
		RunnerGate gate = RunnerGate.closed(RUNNER, RequestFleet.SERVICE);
		gate.open(RequestFleet.VERSION, RequestFleet.DIGEST);
		this.transport = FrameTransport.create(1, RequestFleet.SHARED_KEY, RequestFleet.identity(name, Role.AGENT));
		this.requestHandler = AgentRequestHandler.start(List.of(new RunnerEndpoint(gate, this.engine.address())), fleet,
				(sequence) -> 0,
				(call) -> new IdempotencyDecision.Reject(0, "the benchmark makes idempotent calls only"),
				MonotonicClock.system(), new AgentRequestSettings(1, 3000, 5000, 10_000));
		this.address = this.transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
				new BenchConnections(this.requestHandler));
	}

	private static String[] withInitialWeights(String... engineOptions) {
		List<String> options = new ArrayList<>(List.of(engineOptions));
		options.addAll(List.of("--initial-model", RequestFleet.VERSION.model().value(), "--initial-version",
				RequestFleet.VERSION.version(), "--initial-digest", RequestFleet.DIGEST.hex()));
		return options.toArray(String[]::new);
	}

	Engine engine() {
		return this.engine;
	}

	InstanceId instance() {
		return this.instance;
	}

	InetSocketAddress address() {
		return this.address;
	}

	AgentView view() {
		InstanceRecord record = new InstanceRecord(this.instance, Role.AGENT, this.address, RequestFleet.DATA_CENTRE,
				RequestFleet.REGION, Labels.none(), false);
		RunnerStatus status = new RunnerStatus(RUNNER, RequestFleet.SERVICE, RequestFleet.VERSION, RequestFleet.DIGEST,
				true);
		return new AgentView(record, 1, true, false, List.of(status), List.of(), 0);
	}

	@Override
	public void close() {
		this.transport.close();
		this.requestHandler.close();
		this.engine.close();
	}

}
