package org.catkingate.agent.requests;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import io.undertow.client.ClientConnection;
import io.undertow.server.DefaultByteBufferPool;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;

import org.catkingate.agent.idempotency.CallGuard;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.RequestId;
import org.catkingate.model.RunnerId;
import org.catkingate.model.published.Service;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.http.IoThreads;
import org.catkingate.runtime.http.KeptConnections;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.wire.Message;
import org.catkingate.wire.Traffic;

/**
 * All live requests at an agent. A request is refused as not run only while nothing of it
 * has been sent to a runner, and every request that was taken in gets one final message.
 * Safe for use by any thread.
 *
 * @since 0.1
 */
public final class AgentRequests implements PeerListener, AutoCloseable {

	private static final long SWEEP_MILLIS = 50;

	private static final long RETRY_SOON_MILLIS = 1000;

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final RunnerQueue.Capacity UNKNOWN_SERVICE = new RunnerQueue.Capacity(0, 0);

	private final Map<RequestId, AgentRequest> requests = new ConcurrentHashMap<>();

	private final AgentRequestCounts counts = AgentRequestCounts.zero();

	private final AtomicLong arrivals = new AtomicLong();

	private final Map<RunnerId, RunnerLane> lanes;

	private final RecentRequests recent;

	private final Supplier<FleetSnapshot> fleet;

	private final HeartbeatAge heartbeats;

	private final CallGuard guard;

	private final MonotonicClock clock;

	private final AgentRequestSettings settings;

	private final XnioWorker worker;

	private final XnioExecutor.Key sweeping;

	private volatile boolean draining;

	private AgentRequests(List<RunnerEndpoint> runners, Supplier<FleetSnapshot> fleet, HeartbeatAge heartbeats,
			CallGuard guard, MonotonicClock clock, AgentRequestSettings settings, XnioWorker worker) {
		this.lanes = lanes(runners, worker, clock);
		this.recent = new RecentRequests(settings.maximumHeartbeatAgeMillis());
		this.fleet = fleet;
		this.heartbeats = heartbeats;
		this.guard = guard;
		this.clock = clock;
		this.settings = settings;
		this.worker = worker;
		this.sweeping = worker.getIoThread().executeAtInterval(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Starts the threads that call the runners.
	 * @param runners the runners of this instance
	 * @param fleet the configuration in force
	 * @param heartbeats the age of the agent's own heartbeats
	 * @param guard decides about non-idempotent calls
	 * @param clock the clock
	 * @param settings the limits
	 * @return the requests, never null
	 * @throws IOException if the threads cannot be started
	 */
	public static AgentRequests start(List<RunnerEndpoint> runners, Supplier<FleetSnapshot> fleet,
			HeartbeatAge heartbeats, CallGuard guard, MonotonicClock clock, AgentRequestSettings settings)
			throws IOException {
		XnioWorker worker = IoThreads.start("runners", settings.ioThreads());
		return new AgentRequests(runners, fleet, heartbeats, guard, clock, settings, worker);
	}

	private static Map<RunnerId, RunnerLane> lanes(List<RunnerEndpoint> runners, XnioWorker worker,
			MonotonicClock clock) {
		DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
		Map<RunnerId, RunnerLane> lanes = new HashMap<>();
		for (RunnerEndpoint runner : runners) {
			KeptConnections connections = KeptConnections.to(runner.address(), worker, buffers,
					KeptConnections.USUAL_IDLE, clock);
			lanes.put(runner.gate().runner(), new RunnerLane(runner.gate(), new RunnerQueue(), connections));
		}
		return Map.copyOf(lanes);
	}

	@Override
	public void opened(PeerConnection connection) {
	}

	@Override
	public void drained(PeerConnection connection) {
	}

	@Override
	public void received(PeerConnection connection, Message message) {
		if (message instanceof Traffic.Dispatch dispatch) {
			accept(connection, dispatch);
		}
		else if (message instanceof Traffic.Attach attach) {
			attach(connection, attach);
		}
		else if (message instanceof Traffic traffic) {
			proceed(traffic);
		}
	}

	private void proceed(Traffic message) {
		AgentRequest request = this.requests.get(message.request());
		if (request == null) {
			return;
		}
		if (message instanceof Traffic.AnswerProgress progress) {
			request.acknowledge(progress.offset());
			forgetIfTaken(request);
		}
		else if (message instanceof Traffic.Cancel) {
			this.counts.cancelled().increment();
			cancel(request, "cancelled by the caller");
		}
	}

	private void cancel(AgentRequest request, String message) {
		lane(request).ifPresent((lane) -> lane.queue().remove(request));
		request.cancel(message);
		if (request.isEnded()) {
			forget(request);
		}
	}

	private void accept(PeerConnection connection, Traffic.Dispatch dispatch) {
		long now = this.clock.millis();
		this.counts.arrived().increment();
		AgentRequest request = new AgentRequest(dispatch, connection, this.guard, this.arrivals.incrementAndGet(),
				now + dispatch.deadlineMillis(), this::finished);
		if (this.recent.contains(dispatch.request())
				|| this.requests.putIfAbsent(dispatch.request(), request) != null) {
			return;
		}
		Optional<String> delay = delay(dispatch);
		if (delay.isPresent()) {
			refuse(request, delay.get());
			return;
		}
		if (!request.admit()) {
			return;
		}
		Optional<String> objection = objection(dispatch);
		if (objection.isPresent()) {
			refuse(request, objection.get());
			return;
		}
		enqueue(request);
	}

	private Optional<String> delay(Traffic.Dispatch dispatch) {
		if (dispatch.deadlineMillis() <= 0) {
			return Optional.of("the deadline has passed; allow more time");
		}
		if (this.heartbeats.millisSince(dispatch.heartbeat()) > this.settings.maximumHeartbeatAgeMillis()) {
			return Optional.of("the request was delayed on its way for too long; send it again");
		}
		return Optional.empty();
	}

	private Optional<String> objection(Traffic.Dispatch dispatch) {
		if (this.draining) {
			return Optional.of("the agent is leaving; send the request to another");
		}
		RunnerLane lane = this.lanes.get(dispatch.runner());
		if (lane == null || !lane.gate().service().equals(dispatch.service())) {
			return Optional.of("the agent has no such runner; send the request to another");
		}
		return Optional.empty();
	}

	private void enqueue(AgentRequest request) {
		RunnerLane lane = this.lanes.get(request.dispatch().runner());
		RunnerQueue.Admission admission = lane.queue().offer(request, capacity(lane), this.clock.millis());
		long wait = Math.max(RETRY_SOON_MILLIS, admission.waitMillis());
		admission.displaced()
			.ifPresent((displaced) -> refuse(displaced, wait, "displaced by work of higher priority; come back later"));
		if (admission.outcome() == RunnerQueue.Outcome.START) {
			begin(request, lane);
		}
		else if (admission.outcome() == RunnerQueue.Outcome.REFUSE) {
			refuse(request, wait, "the runner's queue is too long; come back later");
		}
	}

	private RunnerQueue.Capacity capacity(RunnerLane lane) {
		return this.fleet.get()
			.configuration()
			.service(lane.gate().service())
			.map(AgentRequests::capacity)
			.orElse(UNKNOWN_SERVICE);
	}

	private static RunnerQueue.Capacity capacity(Service service) {
		return new RunnerQueue.Capacity(service.concurrentRequests(), service.queuedRequests());
	}

	private void begin(AgentRequest request, RunnerLane lane) {
		request.occupySlot(this.clock.millis());
		if (request.deadlineMillis() <= this.clock.millis()) {
			refuse(request, "the deadline passed in the queue; allow more time");
		}
		else if (!request.enter(lane.gate())) {
			refuse(request, "the runner does not serve the version now; send the request to another");
		}
		else {
			lane.connections()
				.acquire(!request.dispatch().idempotent(), (connection) -> send(request, connection, lane),
						(ex) -> refuse(request, "the runner cannot be reached: " + ex.getMessage()));
		}
	}

	private void send(AgentRequest request, ClientConnection connection, RunnerLane lane) {
		if (request.deadlineMillis() <= this.clock.millis()) {
			lane.connections().release(connection);
			refuse(request, "the deadline passed before the runner was reached; allow more time");
			return;
		}
		this.counts.dispatched().increment();
		request.send(connection, lane.connections());
	}

	private void refuse(AgentRequest request, String message) {
		refuse(request, RETRY_SOON_MILLIS, message);
	}

	private void refuse(AgentRequest request, long retryAfterMillis, String message) {
		if (request.refuse(retryAfterMillis, message)) {
			this.counts.refused().increment();
		}
	}

	private void finished(AgentRequest request) {
		long now = this.clock.millis();
		request.endedAt(now);
		OptionalLong began = request.releaseSlot();
		if (began.isPresent()) {
			lane(request).ifPresent((lane) -> startNext(lane, now - began.getAsLong()));
		}
	}

	private void startNext(RunnerLane lane, long tookMillis) {
		for (AgentRequest next : lane.queue().ended(capacity(lane), tookMillis)) {
			begin(next, lane);
		}
	}

	private Optional<RunnerLane> lane(AgentRequest request) {
		return Optional.ofNullable(this.lanes.get(request.dispatch().runner()));
	}

	private void attach(PeerConnection connection, Traffic.Attach attach) {
		AgentRequest request = this.requests.get(attach.request());
		if (request == null) {
			this.recent.add(attach.request(), this.clock.millis());
			connection.frames()
				.send(new Traffic.AnswerFailure(attach.request(), Traffic.FailureReason.OUTCOME_UNKNOWN, 0,
						"the agent does not know the request; ask for its outcome with the same Idempotency-Key"));
			return;
		}
		if (!request.answer().attach(connection, attach.headReceived(), attach.offset())) {
			cancel(request, "the answer cannot go on from there");
			return;
		}
		request.resume();
	}

	@Override
	public void lost(PeerConnection connection) {
		long now = this.clock.millis();
		this.requests.values().forEach((request) -> request.answer().lost(connection, now));
	}

	private void forgetIfTaken(AgentRequest request) {
		if (request.isEnded() && request.answer().isTaken()) {
			forget(request);
		}
	}

	private void forget(AgentRequest request) {
		this.recent.add(request.dispatch().request(), this.clock.millis());
		this.requests.remove(request.dispatch().request(), request);
	}

	private void sweep() {
		long now = this.clock.millis();
		this.recent.forgetOld(now);
		this.requests.values().forEach((request) -> sweep(request, now));
	}

	private void sweep(AgentRequest request, long now) {
		if (request.isEnded()) {
			if (now - request.endedMillis() > this.settings.retentionMillis() || request.answer().isFailed()) {
				forget(request);
			}
		}
		else if (now >= request.deadlineMillis()) {
			lane(request).ifPresent((lane) -> lane.queue().remove(request));
			request.expire("the deadline has passed; allow more time");
		}
		else if (request.answer().millisSinceLost(now) > this.settings.orphanMillis()) {
			cancel(request, "the entry has gone");
		}
	}

	/**
	 * Takes no more work from now on. Requests that wait are refused as not run; those
	 * that a runner has go on.
	 */
	public void drain() {
		this.draining = true;
		for (RunnerLane lane : this.lanes.values()) {
			lane.queue()
				.removeAll()
				.forEach((request) -> refuse(request, "the agent is leaving; send the request to another"));
		}
	}

	/**
	 * Counts the requests whose answers are not with their entries yet.
	 * @return how many hold up a graceful shutdown
	 */
	public int inProgress() {
		return (int) this.requests.values().stream().filter((request) -> !request.isSettled()).count();
	}

	/**
	 * Tells how much each runner has to do.
	 * @param runner the runner
	 * @return how many requests run and wait, 0 for an unknown runner
	 */
	public int load(RunnerId runner) {
		RunnerLane lane = this.lanes.get(runner);
		return (lane != null) ? lane.queue().load() : 0;
	}

	/**
	 * Returns what has become of requests.
	 * @return the counts, which go on
	 */
	public AgentRequestCounts counts() {
		return this.counts;
	}

	/**
	 * Ends the threads. Requests in progress break off.
	 */
	@Override
	public void close() {
		this.sweeping.remove();
		this.lanes.values().forEach((lane) -> lane.connections().close());
		this.worker.shutdownNow();
	}

}
