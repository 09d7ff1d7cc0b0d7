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
import org.catkingate.runtime.http.ConnectionPool;
import org.catkingate.runtime.http.IoThreads;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerListener;
import org.catkingate.wire.Message;
import org.catkingate.wire.RequestMessage;

/**
 * Handler of the live requests at an agent: admits or rejects each one, queues it for its
 * runner and sends it there. A request is rejected as not run only while nothing of it
 * has been sent to a runner, and every accepted request receives one final message. Safe
 * for use by any thread.
 *
 * @since 0.1
 */
public final class AgentRequestHandler implements PeerListener, AutoCloseable {

	private static final long SWEEP_INTERVAL_MILLIS = 50;

	private static final long DEFAULT_RETRY_AFTER_MILLIS = 1000;

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final RunnerQueue.Capacity UNKNOWN_SERVICE_CAPACITY = new RunnerQueue.Capacity(0, 0);

	private final Map<RequestId, AgentRequest> requests = new ConcurrentHashMap<>();

	private final AgentRequestCounters counters = AgentRequestCounters.zero();

	private final AtomicLong lastArrivalNumber = new AtomicLong();

	private final Map<RunnerId, AgentRunner> runners;

	private final RecentRequestIds recentIds;

	private final Supplier<FleetSnapshot> fleet;

	private final HeartbeatAge heartbeatAge;

	private final CallGuard guard;

	private final MonotonicClock clock;

	private final AgentRequestSettings settings;

	private final XnioWorker worker;

	private final XnioExecutor.Key sweepTask;

	private volatile boolean draining;

	private AgentRequestHandler(List<RunnerEndpoint> runners, Supplier<FleetSnapshot> fleet, HeartbeatAge heartbeatAge,
			CallGuard guard, MonotonicClock clock, AgentRequestSettings settings, XnioWorker worker) {
		this.runners = createAgentRunners(runners, worker, clock);
		this.recentIds = new RecentRequestIds(settings.maxHeartbeatAgeMillis());
		this.fleet = fleet;
		this.heartbeatAge = heartbeatAge;
		this.guard = guard;
		this.clock = clock;
		this.settings = settings;
		this.worker = worker;
		this.sweepTask = worker.getIoThread()
			.executeAtInterval(this::sweep, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Starts the I/O threads that call the runners.
	 * @param runners the runners of this instance
	 * @param fleet supplies the fleet with the configuration in force
	 * @param heartbeatAge the age of the agent's own heartbeats
	 * @param guard decides on non-idempotent calls
	 * @param clock the clock
	 * @param settings the limits
	 * @return the handler, never null
	 * @throws IOException if the threads cannot be started
	 */
	public static AgentRequestHandler start(List<RunnerEndpoint> runners, Supplier<FleetSnapshot> fleet,
			HeartbeatAge heartbeatAge, CallGuard guard, MonotonicClock clock, AgentRequestSettings settings)
			throws IOException {
		XnioWorker worker = IoThreads.start("runners", settings.ioThreads());
		return new AgentRequestHandler(runners, fleet, heartbeatAge, guard, clock, settings, worker);
	}

	private static Map<RunnerId, AgentRunner> createAgentRunners(List<RunnerEndpoint> runners, XnioWorker worker,
			MonotonicClock clock) {
		DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
		Map<RunnerId, AgentRunner> agentRunners = new HashMap<>();
		for (RunnerEndpoint runner : runners) {
			ConnectionPool pool = ConnectionPool.to(runner.address(), worker, buffers, ConnectionPool.DEFAULT_MAX_IDLE,
					clock);
			agentRunners.put(runner.gate().runner(), new AgentRunner(runner.gate(), new RunnerQueue(), pool));
		}
		return Map.copyOf(agentRunners);
	}

	@Override
	public void onOpened(PeerConnection connection) {
	}

	@Override
	public void onSendQueueEmptied(PeerConnection connection) {
	}

	@Override
	public void onReceived(PeerConnection connection, Message message) {
		if (message instanceof RequestMessage.Dispatch dispatch) {
			accept(connection, dispatch);
		}
		else if (message instanceof RequestMessage.Attach attach) {
			attach(connection, attach);
		}
		else if (message instanceof RequestMessage requestMessage) {
			handle(requestMessage);
		}
	}

	private void handle(RequestMessage message) {
		AgentRequest request = this.requests.get(message.request());
		if (request == null) {
			return;
		}
		if (message instanceof RequestMessage.ResponseProgress progress) {
			request.acknowledge(progress.offset());
			forgetIfAcknowledged(request);
		}
		else if (message instanceof RequestMessage.Cancel) {
			this.counters.cancelled().increment();
			cancel(request, "cancelled by the caller");
		}
	}

	private void cancel(AgentRequest request, String message) {
		runnerOf(request).ifPresent((agentRunner) -> agentRunner.queue().remove(request));
		request.cancel(message);
		if (request.isEnded()) {
			forget(request);
		}
	}

	private void accept(PeerConnection connection, RequestMessage.Dispatch dispatch) {
		long now = this.clock.millis();
		this.counters.arrived().increment();
		AgentRequest request = new AgentRequest(dispatch, connection, this.guard,
				this.lastArrivalNumber.incrementAndGet(), now + dispatch.remainingMillis(), this::handleFinished);
		if (this.recentIds.contains(dispatch.request())
				|| this.requests.putIfAbsent(dispatch.request(), request) != null) {
			return;
		}
		Optional<String> lateRejection = rejectionIfLate(dispatch);
		if (lateRejection.isPresent()) {
			reject(request, lateRejection.get());
			return;
		}
		if (!request.admit()) {
			return;
		}
		Optional<String> rejection = rejectionIfNotServed(dispatch);
		if (rejection.isPresent()) {
			reject(request, rejection.get());
			return;
		}
		enqueue(request);
	}

	private Optional<String> rejectionIfLate(RequestMessage.Dispatch dispatch) {
		if (dispatch.remainingMillis() <= 0) {
			return Optional.of("the deadline has passed; allow more time");
		}
		if (this.heartbeatAge.millisSince(dispatch.heartbeat()) > this.settings.maxHeartbeatAgeMillis()) {
			return Optional.of("the request was delayed on its way for too long; send it again");
		}
		return Optional.empty();
	}

	private Optional<String> rejectionIfNotServed(RequestMessage.Dispatch dispatch) {
		if (this.draining) {
			return Optional.of("the agent is leaving; send the request to another");
		}
		AgentRunner agentRunner = this.runners.get(dispatch.runner());
		if (agentRunner == null || !agentRunner.gate().service().equals(dispatch.service())) {
			return Optional.of("the agent has no such runner; send the request to another");
		}
		return Optional.empty();
	}

	private void enqueue(AgentRequest request) {
		AgentRunner agentRunner = this.runners.get(request.dispatch().runner());
		RunnerQueue.OfferResult result = agentRunner.queue().offer(request, capacity(agentRunner), this.clock.millis());
		long wait = Math.max(DEFAULT_RETRY_AFTER_MILLIS, result.waitMillis());
		result.displaced()
			.ifPresent((displaced) -> reject(displaced, wait, "displaced by work of higher priority; come back later"));
		if (result.outcome() == RunnerQueue.Outcome.START) {
			begin(request, agentRunner);
		}
		else if (result.outcome() == RunnerQueue.Outcome.REFUSE) {
			reject(request, wait, "the runner's queue is too long; come back later");
		}
	}

	private RunnerQueue.Capacity capacity(AgentRunner agentRunner) {
		return this.fleet.get()
			.configuration()
			.service(agentRunner.gate().service())
			.map(AgentRequestHandler::capacity)
			.orElse(UNKNOWN_SERVICE_CAPACITY);
	}

	private static RunnerQueue.Capacity capacity(Service service) {
		return new RunnerQueue.Capacity(service.concurrentRequests(), service.queuedRequests());
	}

	private void begin(AgentRequest request, AgentRunner agentRunner) {
		request.occupySlot(this.clock.millis());
		if (request.deadlineMillis() <= this.clock.millis()) {
			reject(request, "the deadline passed in the queue; allow more time");
		}
		else if (!request.enter(agentRunner.gate())) {
			reject(request, "the runner does not serve the version now; send the request to another");
		}
		else {
			agentRunner.connectionPool()
				.acquire(!request.dispatch().idempotent(), (connection) -> send(request, connection, agentRunner),
						(ex) -> reject(request, "the runner cannot be reached: " + ex.getMessage()));
		}
	}

	private void send(AgentRequest request, ClientConnection connection, AgentRunner agentRunner) {
		if (request.deadlineMillis() <= this.clock.millis()) {
			agentRunner.connectionPool().release(connection);
			reject(request, "the deadline passed before the runner was reached; allow more time");
			return;
		}
		this.counters.dispatched().increment();
		request.send(connection, agentRunner.connectionPool());
	}

	private void reject(AgentRequest request, String message) {
		reject(request, DEFAULT_RETRY_AFTER_MILLIS, message);
	}

	private void reject(AgentRequest request, long retryAfterMillis, String message) {
		if (request.reject(retryAfterMillis, message)) {
			this.counters.rejected().increment();
		}
	}

	private void handleFinished(AgentRequest request) {
		long now = this.clock.millis();
		request.setEndedMillis(now);
		OptionalLong slotSinceMillis = request.releaseSlot();
		if (slotSinceMillis.isPresent()) {
			runnerOf(request).ifPresent((agentRunner) -> startNext(agentRunner, now - slotSinceMillis.getAsLong()));
		}
	}

	private void startNext(AgentRunner agentRunner, long occupiedMillis) {
		for (AgentRequest next : agentRunner.queue().recordEnd(capacity(agentRunner), occupiedMillis)) {
			begin(next, agentRunner);
		}
	}

	private Optional<AgentRunner> runnerOf(AgentRequest request) {
		return Optional.ofNullable(this.runners.get(request.dispatch().runner()));
	}

	private void attach(PeerConnection connection, RequestMessage.Attach attach) {
		AgentRequest request = this.requests.get(attach.request());
		if (request == null) {
			// a delayed dispatch must not start the request after this failure
			this.recentIds.add(attach.request(), this.clock.millis());
			connection.frameConnection()
				.send(new RequestMessage.ResponseFailure(attach.request(), RequestMessage.FailureReason.OUTCOME_UNKNOWN,
						0, "the agent does not know the request; ask for its outcome with the same Idempotency-Key"));
			return;
		}
		if (!request.response().attach(connection, attach.headReceived(), attach.offset())) {
			cancel(request, "the answer cannot go on from there");
			return;
		}
		request.resume();
	}

	@Override
	public void onClosed(PeerConnection connection) {
		long now = this.clock.millis();
		this.requests.values().forEach((request) -> request.response().connectionLost(connection, now));
	}

	private void forgetIfAcknowledged(AgentRequest request) {
		if (request.isEnded() && request.response().isFullyAcknowledged()) {
			forget(request);
		}
	}

	private void forget(AgentRequest request) {
		this.recentIds.add(request.dispatch().request(), this.clock.millis());
		this.requests.remove(request.dispatch().request(), request);
	}

	private void sweep() {
		long now = this.clock.millis();
		this.recentIds.removeExpired(now);
		this.requests.values().forEach((request) -> sweep(request, now));
	}

	private void sweep(AgentRequest request, long now) {
		if (request.isEnded()) {
			if (now - request.endedMillis() > this.settings.retentionMillis() || request.response().isFailureSent()) {
				forget(request);
			}
		}
		else if (now >= request.deadlineMillis()) {
			runnerOf(request).ifPresent((agentRunner) -> agentRunner.queue().remove(request));
			request.expire("the deadline has passed; allow more time");
		}
		else if (request.response().millisSinceLost(now) > this.settings.orphanTimeoutMillis()) {
			cancel(request, "the entry has gone");
		}
	}

	/**
	 * Stops accepting requests. Waiting requests are rejected as not run; those sent to a
	 * runner continue.
	 */
	public void drain() {
		this.draining = true;
		for (AgentRunner agentRunner : this.runners.values()) {
			agentRunner.queue()
				.removeAll()
				.forEach((request) -> reject(request, "the agent is leaving; send the request to another"));
		}
	}

	/**
	 * Returns the number of requests whose responses are not acknowledged completely by
	 * their entries.
	 * @return the number of requests that delay a graceful shutdown
	 */
	public int inProgress() {
		return (int) this.requests.values().stream().filter((request) -> !request.isSettled()).count();
	}

	/**
	 * Returns the load of a runner.
	 * @param runner the runner
	 * @return the number of running and waiting requests, 0 for an unknown runner
	 */
	public int load(RunnerId runner) {
		AgentRunner agentRunner = this.runners.get(runner);
		return (agentRunner != null) ? agentRunner.queue().load() : 0;
	}

	/**
	 * Returns the counters of requests by outcome.
	 * @return the counters, which continue to count
	 */
	public AgentRequestCounters counters() {
		return this.counters;
	}

	/**
	 * Stops the threads. Requests in progress are aborted.
	 */
	@Override
	public void close() {
		this.sweepTask.remove();
		this.runners.values().forEach((agentRunner) -> agentRunner.connectionPool().close());
		this.worker.shutdownNow();
	}

}
