package org.catkingate.agent.weights;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.xnio.XnioWorker;

import org.catkingate.agent.runners.RunnerGate;
import org.catkingate.decisions.Effect;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.distribution.ChunkSet;
import org.catkingate.decisions.distribution.DistributionEffect;
import org.catkingate.decisions.distribution.DistributionEvent;
import org.catkingate.decisions.distribution.DistributionSettings;
import org.catkingate.decisions.distribution.DistributionState;
import org.catkingate.decisions.distribution.Source;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.decisions.runners.RunnersEffect;
import org.catkingate.decisions.runners.RunnersSettings;
import org.catkingate.decisions.runners.RunnersState;
import org.catkingate.decisions.weights.WeightsEvent;
import org.catkingate.decisions.weights.WeightsReducer;
import org.catkingate.decisions.weights.WeightsState;
import org.catkingate.model.Digest;
import org.catkingate.model.InstanceId;
import org.catkingate.model.RunnerId;
import org.catkingate.model.RunnerStatus;
import org.catkingate.model.ServiceName;
import org.catkingate.runtime.ControlLoop;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.peers.PeerConnection;
import org.catkingate.runtime.peers.PeerConnections;
import org.catkingate.wire.WeightsMessage;

/**
 * Distribution of weights at one agent: it downloads the configured versions, shares them
 * with other agents, has the runners load them and opens their gates. It has its own
 * control thread. Safe for use by any thread.
 *
 * @since 0.1
 */
public final class WeightsDistribution implements AutoCloseable {

	private static final long BUSY_TICK_INTERVAL_MILLIS = 20;

	private static final long IDLE_TICK_INTERVAL_MILLIS = 200;

	private static final long SOURCE_TIMEOUT_MILLIS = 10_000;

	private static final long LOAD_TIMEOUT_MILLIS = 600_000;

	/**
	 * The size of a token bucket, as the time in which its rate fills it.
	 */
	private static final double BURST_SECONDS = 0.05;

	private static final long RECONNECT_INTERVAL_MILLIS = 1000;

	private static final long REJECTION_RETRY_MILLIS = 100;

	private final ChunkMemory memory;

	private final ChunkUploader uploader;

	private final DistributionEffectExecutor distributionEffectExecutor;

	private final RunnersEffectExecutor runnersEffectExecutor;

	private final WeightsDependencies dependencies;

	private final Map<RunnerId, RunnerGate> gates;

	private final Consumer<List<RunnerStatus>> statusListener;

	private volatile ControlLoop<WeightsState> loop;

	private long reconnectedAtMillis;

	private List<RunnerStatus> reportedStatuses = List.of();

	private WeightsDistribution(WeightsSettings settings, WeightsDependencies dependencies, List<RunnerGate> gates,
			Consumer<List<RunnerStatus>> statusListener) {
		this.dependencies = dependencies;
		this.statusListener = statusListener;
		this.memory = ChunkMemory.ofBytes(settings.memoryBytes());
		this.uploader = new ChunkUploader(this.memory, dependencies.uploadRateLimit(), dependencies.timer(),
				dependencies.clock(), settings.own().region(), () -> this.loop.state().distribution().wantedBytes());
		this.gates = new HashMap<>();
		gates.forEach((gate) -> this.gates.put(gate.runner(), gate));
		this.distributionEffectExecutor = new DistributionEffectExecutor(dependencies, this.memory, this::submit);
		this.runnersEffectExecutor = new RunnersEffectExecutor(dependencies, this.gates, this.memory, this::submit);
		this.loop = ControlLoop.start(initialState(settings), WeightsReducer.create(), this::execute,
				dependencies.clock(), this::tick, WeightsDistribution::tickIntervalMillis);
	}

	/**
	 * Starts the distribution.
	 * @param settings the settings
	 * @param worker the I/O threads for HTTP
	 * @param peers the connections to other agents
	 * @param connectAction connects to a peer without waiting for the result; called by
	 * the control thread or an I/O thread
	 * @param gates the gate of each runner in the settings
	 * @param statusListener receives the states of the runners whenever they change;
	 * called by the control thread
	 * @param clock the clock
	 * @return the running distribution, never null
	 */
	public static WeightsDistribution start(WeightsSettings settings, XnioWorker worker, PeerConnections peers,
			BiConsumer<InstanceId, InetSocketAddress> connectAction, List<RunnerGate> gates,
			Consumer<List<RunnerStatus>> statusListener, MonotonicClock clock) {
		WeightsSettings.Rates rates = settings.rates();
		Map<Source, WeightSource> publishedSources = new HashMap<>();
		addPublishedSource(publishedSources, new Source.Origin(), settings.origin(), rates.origin(), worker, clock);
		addPublishedSource(publishedSources, new Source.Store(), settings.store(), rates.store(), worker, clock);
		Map<RunnerId, EngineClient> engines = new HashMap<>();
		settings.runners()
			.forEach((runner) -> engines.put(runner.runner(),
					HttpEngineClient.of(worker, runner.address(), LOAD_TIMEOUT_MILLIS)));
		ThreadFactory threads = (task) -> {
			Thread thread = new Thread(task, "weights");
			thread.setDaemon(true);
			return thread;
		};
		ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(threads);
		ExecutorService digestExecutor = Executors.newSingleThreadExecutor(threads);
		WeightsDependencies dependencies = new WeightsDependencies(publishedSources, engines, peers,
				new PeerConnector(settings.own().instance(), peers, connectAction, clock),
				createBucket(rates.upload(), clock), createBucket(rates.download(), clock), timer, digestExecutor,
				clock);
		return new WeightsDistribution(settings, dependencies, gates, statusListener);
	}

	private static void addPublishedSource(Map<Source, WeightSource> publishedSources, Source source, URI address,
			long rate, XnioWorker worker, MonotonicClock clock) {
		if (address != null) {
			publishedSources.put(source,
					HttpWeightSource.of(worker, address, createBucket(rate, clock), SOURCE_TIMEOUT_MILLIS));
		}
	}

	private static TokenBucket createBucket(long bytesPerSecond, MonotonicClock clock) {
		return TokenBucket.of(bytesPerSecond, bytesPerSecond * BURST_SECONDS, clock);
	}

	private static WeightsState initialState(WeightsSettings settings) {
		DistributionSettings distribution = new DistributionSettings(settings.own(), settings.labels(),
				settings.memoryBytes(), ChunkMemory.PAGE_BYTES, settings.origin() != null, settings.store() != null,
				settings.preference());
		Map<RunnerId, ServiceName> services = new HashMap<>();
		settings.runners().forEach((runner) -> services.put(runner.runner(), runner.service()));
		RunnersSettings runners = new RunnersSettings(settings.own().instance(), settings.labels(),
				settings.startedAtEpochSeconds(), services);
		return new WeightsState(DistributionState.initial(distribution), RunnersState.initial(runners));
	}

	private void submit(Event event) {
		this.loop.submit(event);
	}

	private static long tickIntervalMillis(WeightsState state) {
		boolean busy = state.distribution().isIncomplete() || !state.runners().isSettled();
		return busy ? BUSY_TICK_INTERVAL_MILLIS : IDLE_TICK_INTERVAL_MILLIS;
	}

	private WeightsEvent tick() {
		ControlLoop<WeightsState> startedLoop = this.loop;
		if (startedLoop != null) {
			reportStatuses(startedLoop.state().runners().statuses());
			reconnect(startedLoop.state().distribution());
		}
		Map<RunnerId, Integer> inProgress = new HashMap<>();
		Set<RunnerId> closedGates = new HashSet<>();
		this.gates.forEach((runner, gate) -> {
			inProgress.put(runner, gate.inProgress());
			if (gate.servedVersion().isEmpty()) {
				closedGates.add(runner);
			}
		});
		return new WeightsEvent.Ticked(inProgress, closedGates);
	}

	private void reconnect(DistributionState state) {
		if (state.isIncomplete()
				&& this.dependencies.clock().millis() - this.reconnectedAtMillis >= RECONNECT_INTERVAL_MILLIS) {
			this.reconnectedAtMillis = this.dependencies.clock().millis();
			this.dependencies.connector().connectNeighbours();
		}
	}

	private void reportStatuses(List<RunnerStatus> current) {
		if (!current.equals(this.reportedStatuses)) {
			this.reportedStatuses = current;
			this.statusListener.accept(current);
		}
	}

	private void execute(Effect effect) {
		if (effect instanceof DistributionEffect distributionEffect) {
			this.distributionEffectExecutor.execute(distributionEffect);
		}
		else if (effect instanceof RunnersEffect runnersEffect) {
			this.runnersEffectExecutor.execute(runnersEffect);
		}
	}

	/**
	 * Applies a new configuration or a change of the fleet.
	 * @param fleet the current snapshot of the fleet
	 */
	public void onFleetChanged(FleetSnapshot fleet) {
		this.dependencies.connector().updateFleet(fleet);
		submit(new WeightsEvent.FleetChanged(fleet));
	}

	/**
	 * Handles a new connection to another agent.
	 * @param connection the connection
	 */
	public void onOpened(PeerConnection connection) {
		this.distributionEffectExecutor.handlePeerConnected(connection.frameConnection().peer().instance());
	}

	/**
	 * Handles the closing of a connection to another agent.
	 * @param connection the connection
	 */
	public void onClosed(PeerConnection connection) {
		submit(new DistributionEvent.PeerDisconnected(connection.frameConnection().peer().instance()));
	}

	/**
	 * Handles a message of another agent.
	 * @param connection the connection
	 * @param message the message
	 */
	public void onReceived(PeerConnection connection, WeightsMessage message) {
		Source.Peer source = new Source.Peer(connection.frameConnection().peer().instance());
		if (message instanceof WeightsMessage.ChunkSlice slice) {
			this.distributionEffectExecutor.handleSlice(source, slice);
		}
		else if (message instanceof WeightsMessage.ChunkRequest request) {
			handleChunkRequest(connection, request);
		}
		else if (message instanceof WeightsMessage.ChunkRejection rejection) {
			submit(new DistributionEvent.SliceRejected(source, rejection.chunk(), rejection.retryAfterMillis()));
		}
		else if (message instanceof WeightsMessage.AvailableChunks available) {
			submit(new DistributionEvent.PeerAnnounced(source.instance(), available.manifest(),
					ChunkSet.of(available.bitfield())));
		}
		else if (message instanceof WeightsMessage.ManifestRequest request) {
			this.distributionEffectExecutor.handleManifestRequest(connection, request);
		}
		else if (message instanceof WeightsMessage.ManifestContent content) {
			this.distributionEffectExecutor.handleManifestContent(source, content);
		}
	}

	private void handleChunkRequest(PeerConnection connection, WeightsMessage.ChunkRequest request) {
		if (this.uploader.respond(connection.frameConnection(), request)) {
			return;
		}
		DistributionState state = this.loop.state().distribution();
		Optional<Digest> manifest = state.manifestContaining(request.chunk());
		manifest.flatMap(state::chunksHeld)
			.ifPresent((held) -> connection.frameConnection()
				.send(new WeightsMessage.AvailableChunks(manifest.get(), held.toBitfield())));
		connection.frameConnection()
			.send(new WeightsMessage.ChunkRejection(request.chunk(),
					manifest.isPresent() ? REJECTION_RETRY_MILLIS : 0));
	}

	/**
	 * Returns the progress of the versions.
	 * @return the progress, never null
	 */
	public WeightsProgress progress() {
		DistributionState state = this.loop.state().distribution();
		return new WeightsProgress(state.progress(), state.bytesByDistance(), this.uploader.sentBytes(),
				this.distributionEffectExecutor.arrivedBytes(), this.memory.usedBytes(), this.memory.allocatedBytes());
	}

	/**
	 * Stops the threads. Transfers in progress are aborted.
	 */
	@Override
	public void close() {
		this.loop.close();
		this.dependencies.timer().shutdownNow();
		this.dependencies.digestExecutor().shutdownNow();
	}

}
