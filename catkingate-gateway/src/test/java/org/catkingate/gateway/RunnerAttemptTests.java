package org.catkingate.gateway;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Methods;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioWorker;

import org.catkingate.decisions.coldstart.ColdRunner;
import org.catkingate.decisions.coldstart.KnownGateways;
import org.catkingate.decisions.memory.MemoryNeed;
import org.catkingate.decisions.permits.RunnerLimits;
import org.catkingate.decisions.routing.Distance;
import org.catkingate.decisions.sending.CallScope;
import org.catkingate.decisions.sending.Residency;
import org.catkingate.model.DataCentreName;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RegionName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.prompts.RunnerStart;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.calls.RequestedPause;
import org.catkingate.runtime.calls.RunnerResponseHead;
import org.catkingate.runtime.calls.StatedLimit;
import org.catkingate.runtime.http.ConnectionPool;
import org.catkingate.runtime.http.IoThreads;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RunnerAttempt}.
 */
class RunnerAttemptTests {

	private static final int TIMEOUT_MILLIS = 10_000;

	private final RunnerIntakeLog intakeLog = new RunnerIntakeLog(GatewayMetrics.registerIn(new PrometheusRegistry()));

	private final ColdRunner cold = new ColdRunner(new KnownGateways(new InstanceId("gateway-1"), 0, false, 0),
			new RunnerStart(new RunnerId("a"), 1));

	private XnioWorker worker;

	private ServerSocket server;

	@BeforeEach
	void start() throws Exception {
		this.worker = IoThreads.start("traffic", 1);
		this.server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
		this.server.setSoTimeout(TIMEOUT_MILLIS);
	}

	@AfterEach
	void stop() throws Exception {
		this.worker.shutdownNow();
		this.server.close();
	}

	private RunnerState createRunner() {
		InetSocketAddress address = (InetSocketAddress) this.server.getLocalSocketAddress();
		RegisteredRunner registered = new RegisteredRunner(new RunnerId("a"), 1, new ServiceName("songs"), address,
				new DataCentreName("a"), 16, false, Map.of(), 0);
		return new RunnerState(registered, Optional.empty(), Distance.DATA_CENTRE,
				ConnectionPool.to(address, this.worker, new DefaultByteBufferPool(false, 1024), 1,
						MonotonicClock.system()),
				this.intakeLog, new RunnerPermits(new RunnerLimits(new InstanceId("gateway-1"), 0, 1), this.intakeLog,
						MonotonicClock.system()),
				this.cold);
	}

	private void startAttempt(RunnerState runner, Outcome listener) {
		ClientRequest request = new ClientRequest().setMethod(Methods.GET).setPath("/songs/1");
		RunnerAttempt.start(runner,
				new RunnerAttempt.OutgoingRequest(request, new byte[0], RequestCost.unknown(0), true, listener::scope,
						new ResponseCheck("r1", null, false)),
				null, this.worker.getIoThread(), MonotonicClock.system(), listener);
	}

	private static RunnerResponseHead leaving() {
		return new RunnerResponseHead("r1", true, false, false, Optional.empty(), Long.MAX_VALUE, true,
				RequestedPause.NONE, StatedLimit.NONE);
	}

	private static RunnerResponseHead pausing() {
		return new RunnerResponseHead("r1", true, true, false, Optional.empty(), Long.MAX_VALUE, false,
				new RequestedPause(TIMEOUT_MILLIS, Optional.empty()), StatedLimit.NONE);
	}

	private static RunnerResponseHead limiting() {
		return new RunnerResponseHead("r1", true, false, false, Optional.empty(), Long.MAX_VALUE, false,
				RequestedPause.NONE, new StatedLimit(OptionalDouble.of(1), Optional.empty()));
	}

	private void assertNotSentAfter(int status, RunnerResponseHead statement) throws Exception {
		long now = MonotonicClock.system().millis();
		assertNotSentAfter((runner) -> runner.recordResponseHead(status, statement, now, now));
	}

	private void assertNotSentAfter(Consumer<RunnerState> event) throws Exception {
		Outcome outcome = new Outcome();
		RunnerState runner = createRunner();
		this.worker.getIoThread().execute(() -> {
			startAttempt(runner, outcome);
			event.accept(runner);
		});
		assertThat(outcome.end.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).startsWith("not sent: ");
		this.worker.getIoThread().execute(() -> runner.connections().close());
		try (Socket accepted = this.server.accept()) {
			accepted.setSoTimeout(TIMEOUT_MILLIS);
			assertThat(accepted.getInputStream().read()).as("the connection is closed without a byte").isEqualTo(-1);
		}
	}

	// Guards against a request that is sent after the runner's statement because it was
	// chosen before and its connection was not open yet.
	@Test
	void isNotSentIfItsRunnerStatesThatItLeavesWhileTheConnectionIsOpened() throws Exception {
		assertNotSentAfter(200, leaving());
	}

	// Guards against the same for a runner that asks for a pause.
	@Test
	void isNotSentIfItsRunnerAsksForAPauseWhileTheConnectionIsOpened() throws Exception {
		assertNotSentAfter(503, pausing());
	}

	// Guards against the same for a runner that states a limit (LIMIT).
	@Test
	void isNotSentIfItsRunnerStatesALimitWhileTheConnectionIsOpened() throws Exception {
		assertNotSentAfter(200, limiting());
	}

	// Guards against a request that reaches a data centre that was evacuated while its
	// connection was opened.
	@Test
	void isNotSentIfItsDataCentreIsEvacuatedWhileTheConnectionIsOpened() throws Exception {
		assertNotSentAfter((runner) -> runner.setEvacuated(true));
	}

	// Guards against requests beyond what a cold runner may get that were admitted while
	// it was warm, and against room that such a request keeps.
	@Test
	void isNotSentIfItsRunnerBecomesColdWhileTheConnectionIsOpened() throws Exception {
		assertNotSentAfter((runner) -> this.cold.update(Optional.of(0.5), true));
		assertThat(this.cold.isInUse(MonotonicClock.system().millis())).isFalse();
	}

	// Guards against a request that is sent to a region that a configuration published
	// while its connection was opened does not allow.
	@Test
	void isNotSentIfItsRegionIsNotAllowedAnyMore() throws Exception {
		Outcome outcome = new Outcome();
		outcome.residency = Residency.of(Set.of(new RegionName("elsewhere")), Set.of());
		RunnerState runner = createRunner();
		this.worker.getIoThread().execute(() -> startAttempt(runner, outcome));
		assertThat(outcome.end.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).startsWith("not sent: ");
	}

	// Guards against a request that is sent after a part of its prompt or it as a whole
	// has been put into quarantine, because it was admitted before (BUDGET).
	@Test
	void isNotSentIfItIsQuarantinedWhileTheConnectionIsOpened() throws Exception {
		Outcome outcome = new Outcome();
		outcome.quarantined = true;
		RunnerState runner = createRunner();
		this.worker.getIoThread().execute(() -> startAttempt(runner, outcome));
		assertThat(outcome.end.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).startsWith("not sent: ");
	}

	// Guards against two requests that were chosen at the same time and together exceed
	// the memory of their runner.
	@Test
	void isNotSentIfAnotherRequestFillsTheMemoryWhileTheConnectionIsOpened() throws Exception {
		Outcome outcome = new Outcome();
		outcome.memory = new MemoryNeed(600, 100, 5, 700, 1000);
		RunnerState runner = createRunner();
		this.worker.getIoThread().execute(() -> {
			startAttempt(runner, outcome);
			runner.work().memory().reserve(outcome.memory, MonotonicClock.system().millis());
		});
		assertThat(outcome.end.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).startsWith("not sent: ")
			.contains("memory of the runner");
	}

	@Test
	void isSentIfItsRunnerTakesRequests() throws Exception {
		Outcome outcome = new Outcome();
		RunnerState runner = createRunner();
		this.worker.getIoThread().execute(() -> startAttempt(runner, outcome));
		assertThat(outcome.end.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("sent");
		try (Socket accepted = this.server.accept()) {
			accepted.setSoTimeout(TIMEOUT_MILLIS);
			assertThat(accepted.getInputStream().read()).isEqualTo('G');
		}
	}

	/**
	 * A listener that records whether the request was sent.
	 */
	private static final class Outcome implements RunnerAttempt.Listener {

		private final CompletableFuture<String> end = new CompletableFuture<>();

		private boolean quarantined;

		private Residency residency = Residency.anywhere();

		private MemoryNeed memory = MemoryNeed.none();

		private CallScope scope() {
			return new CallScope(new ServiceName("songs"), List.of(), this.residency, this.quarantined, this.memory);
		}

		@Override
		public void onSend(RunnerAttempt attempt) {
			this.end.complete("sent");
		}

		@Override
		public void onNotSent(RunnerAttempt attempt, String reason) {
			this.end.complete("not sent: " + reason);
		}

		@Override
		public boolean onHead(RunnerAttempt attempt, ClientResponse response) {
			return false;
		}

		@Override
		public void onResponseStart(RunnerAttempt attempt, long elapsedMillis) {
		}

		@Override
		public void onData(RunnerAttempt attempt, byte[] bytes) {
		}

		@Override
		public boolean canAccept() {
			return true;
		}

		@Override
		public void onEnd(RunnerAttempt attempt, boolean delimited) {
		}

		@Override
		public void onFailure(RunnerAttempt attempt, String reason) {
		}

	}

}
