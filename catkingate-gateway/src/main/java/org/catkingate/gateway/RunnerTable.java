package org.catkingate.gateway;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.decisions.admission.AdmissionDecision;
import org.catkingate.decisions.admission.AdmissionPolicies;
import org.catkingate.decisions.admission.AdmissionPolicy;
import org.catkingate.decisions.admission.CallDescription;
import org.catkingate.decisions.admission.RunnerOption;
import org.catkingate.decisions.competition.ServiceCompetition;
import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.decisions.sending.CallScope;
import org.catkingate.decisions.sending.Residency;
import org.catkingate.decisions.sending.SendCondition;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.EngineProfile;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.wire.RunnerMessage;

/**
 * The registered runners and their states. A runner that restarts or moves to another
 * address or data centre gets a new state; one that is listed again without a restart
 * keeps what it has stated. Used by the traffic thread only.
 */
final class RunnerTable {

	private static final Logger logger = LoggerFactory.getLogger(RunnerTable.class);

	/**
	 * The time without a rejected call after which runners that load weights are
	 * considered to have begun anew.
	 */
	private static final long LOADING_PAUSE_MILLIS = 3000;

	/** The conditions that a runner may leave unmet and still take calls soon. */
	private static final Set<SendCondition> END_OF_PAUSE_SUFFICES = EnumSet.of(SendCondition.NOT_PAUSED,
			SendCondition.WITHIN_LIMIT, SendCondition.WITHIN_COLD_ALLOWANCE);

	private static final double MILLIS_PER_SECOND = 1000;

	private final Map<RunnerId, RunnerState> runners = new HashMap<>();

	private final RememberedIntakes rememberedIntakes = new RememberedIntakes();

	private Map<String, List<RunnerState>> runnersByAddress = Map.of();

	private final Function<RegisteredRunner, RunnerState> stateFactory;

	private final DeclaredVersions versions;

	private final AdmissionPolicy policy;

	private final Map<ServiceName, LoadingPeriod> loadingPeriods = new HashMap<>();

	private Consumer<RunnerState> removalListener = (runner) -> {
	};

	private Consumer<ServiceName> changeListener = (service) -> {
	};

	private Consumer<SendCondition> unmetListener = (condition) -> {
	};

	private final Residencies residencies = new Residencies();

	private final SilentConnections silentConnections = new SilentConnections();

	private RegistryView view = RegistryView.empty();

	RunnerTable(Function<RegisteredRunner, RunnerState> stateFactory, AdmissionPolicy policy,
			DeclaredVersions versions) {
		this.stateFactory = stateFactory;
		this.versions = versions;
		this.policy = policy;
	}

	/**
	 * Sets the listener to changes of the runners that can serve.
	 * @param listener receives the service of the runners
	 */
	void onChange(Consumer<ServiceName> listener) {
		this.changeListener = listener;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, empty if none is known
	 */
	Optional<ServingConfiguration> configuration() {
		return this.view.configuration();
	}

	/**
	 * Sets the listener to removed and replaced runners.
	 * @param listener receives the state of each one
	 */
	void onRemoval(Consumer<RunnerState> listener) {
		this.removalListener = listener;
	}

	/**
	 * Sets the listener to decisions for which no runner is left.
	 * @param listener receives the condition that most runners do not meet
	 */
	void onUnmet(Consumer<SendCondition> listener) {
		this.unmetListener = listener;
	}

	Residencies residencies() {
		return this.residencies;
	}

	int count(ServiceName service) {
		return count(service, Set.of());
	}

	/**
	 * Counts the runners of a service.
	 * @param service the service
	 * @param except the runners that do not count
	 * @return the number of the others, whatever their state is
	 */
	int count(ServiceName service, Set<RunnerId> except) {
		return (int) this.runners.values()
			.stream()
			.map(RunnerState::runner)
			.filter((runner) -> runner.service().equals(service) && !except.contains(runner.id()))
			.count();
	}

	void update(RegistryView next, long nowMillis) {
		if (this.view.configuration().isEmpty()) {
			this.versions.addInitial(next.versions());
		}
		this.versions.addDeclared(next.versions(), nowMillis);
		this.residencies.update(next.configuration());
		EvacuationLog.recordChanges(this.view, next);
		this.view = next;
		this.runners.entrySet().removeIf((entry) -> {
			RegisteredRunner registered = next.runners().get(entry.getKey());
			boolean removed = registered == null || !isSameProcess(registered, entry.getValue().runner());
			if (removed) {
				applyAlone(entry.getValue().runner(), () -> recordRemoval(entry.getValue()));
			}
			return removed;
		});
		next.runners().values().forEach((registered) -> applyAlone(registered, () -> updateState(registered)));
		this.runnersByAddress = this.runners.values()
			.stream()
			.collect(Collectors.groupingBy((state) -> state.runner().addressText()));
		this.runners.values().stream().map(RunnerState::service).distinct().forEach(this.changeListener);
	}

	/*
	 * One registration that cannot be applied must not keep the others from being
	 * applied.
	 */
	private static void applyAlone(RegisteredRunner registered, Runnable change) {
		try {
			change.run();
		}
		catch (RuntimeException ex) {
			logger.atError()
				.addKeyValue("event", "registration-failed")
				.addKeyValue("runner", registered)
				.setCause(ex)
				.log("failed to apply the registration of a runner; report this as a defect with this log line");
		}
	}

	private void recordRemoval(RunnerState removed) {
		this.rememberedIntakes.add(removed);
		this.removalListener.accept(removed);
		removed.close();
	}

	private void updateState(RegisteredRunner registered) {
		RunnerState state = this.runners.computeIfAbsent(registered.id(), (id) -> createState(registered));
		state.updateRegistration(registered);
		state.setEvacuated(this.view.evacuated().contains(registered.dataCentre()));
	}

	private RunnerState createState(RegisteredRunner runner) {
		RunnerState state = this.stateFactory.apply(runner);
		this.rememberedIntakes.restoreTo(state);
		return state;
	}

	private static boolean isSameProcess(RegisteredRunner first, RegisteredRunner second) {
		return first.address().equals(second.address()) && first.startedAtEpochMillis() == second.startedAtEpochMillis()
				&& first.service().equals(second.service()) && first.dataCentre().equals(second.dataCentre());
	}

	AdmissionDecision decide(CallDescription call, Set<RunnerId> triedRunners, int otherGateways, double draw,
			long nowMillis) {
		CallScope scope = call.scope();
		if (scope.residency().contradictory()) {
			return AdmissionPolicies.whileExcluded("the route and the client account allow no region in common", draw);
		}
		if (!scope.memory().fitsEmptyRunner()) {
			return AdmissionPolicies
				.whileExcluded("it needs more tokens than the memory of any runner of its service holds", draw);
		}
		Optional<EngineProfile> engine = engine(scope.service());
		double meanPromptTokens = engine.map(EngineProfile::meanPromptTokens).orElse(0.0);
		List<RunnerOption> options = new ArrayList<>();
		Map<SendCondition, Integer> unmet = new EnumMap<>(SendCondition.class);
		double limitsPerSecond = 0;
		double coldPerSecond = 0;
		for (RunnerState state : this.runners.values()) {
			if (!state.runner().service().equals(scope.service()) || triedRunners.contains(state.runner().id())
					|| state.isFull(nowMillis)) {
				continue;
			}
			Optional<SendCondition> firstUnmet = SendCondition.firstUnmet(scope, state, nowMillis);
			if (firstUnmet.isEmpty()
					|| (firstUnmet.get() == SendCondition.WITHIN_LIMIT && state.requestPermit(nowMillis))) {
				options.add(state.createOption(new RunnerWork.Circumstances(meanPromptTokens, otherGateways,
						startLimitMillis(scope.models(), state.servedVersions(nowMillis)) - nowMillis, call.cost()),
						nowMillis));
			}
			else {
				unmet.merge(firstUnmet.get(), 1, Integer::sum);
				limitsPerSecond += (firstUnmet.get() == SendCondition.WITHIN_LIMIT) ? state.limitPerSecond() : 0;
				coldPerSecond += (firstUnmet.get() == SendCondition.WITHIN_COLD_ALLOWANCE)
						? state.cold().partPerSecond(nowMillis) : 0;
			}
		}
		AdmissionDecision decision = this.policy.decide(options, call, engine, draw);
		if (!(decision instanceof AdmissionDecision.Reject)) {
			return decision;
		}
		if (options.isEmpty()) {
			mostFrequent(unmet).ifPresent(this.unmetListener);
		}
		if (options.isEmpty() && unmet.containsKey(SendCondition.WITHIN_LIMIT)) {
			return AdmissionPolicies.whileLimited(limitsPerSecond / (otherGateways + 1),
					call.requirements().remainingMillis(), draw);
		}
		if (!scope.models().isEmpty() && areMostLoading(scope, nowMillis)) {
			return AdmissionPolicies.whileLoading(recordLoading(scope.service(), nowMillis),
					readyInMillis(scope, nowMillis), releasesPerSecond(scope, engine, otherGateways + 1),
					call.requirements(), draw);
		}
		if (options.isEmpty() && unmet.containsKey(SendCondition.WITHIN_COLD_ALLOWANCE)) {
			return AdmissionPolicies.whileCold(coldPerSecond, call.requirements().remainingMillis(), draw);
		}
		long pauseMillis = shortestPauseMillis(scope, nowMillis);
		if (pauseMillis > 0) {
			return AdmissionPolicies.whilePaused(pauseMillis, draw);
		}
		return options.isEmpty() ? mostFrequent(unmet)
			.<AdmissionDecision>map((condition) -> AdmissionPolicies.whileExcluded(condition.unmetReason(), draw))
			.orElse(decision) : decision;
	}

	private static Optional<SendCondition> mostFrequent(Map<SendCondition, Integer> unmet) {
		return unmet.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
	}

	/**
	 * Returns whether runners of a service state how slow their machines are.
	 * @param service the service
	 * @return whether at least one has stated it
	 */
	boolean stateSlowdown(ServiceName service) {
		return this.runners.values()
			.stream()
			.anyMatch((state) -> state.service().equals(service) && state.work().statesSlowdown());
	}

	/**
	 * Returns the models that a runner must serve for calls to a service.
	 * @param service the service
	 * @return the models, empty for a service without engines
	 */
	List<ModelName> models(ServiceName service) {
		return engine(service).map(EngineProfile::models).orElse(List.of());
	}

	/*
	 * Returns the time until the first runner of a service takes requests again, 0 if one
	 * takes requests now or none will.
	 */
	private long shortestPauseMillis(CallScope scope, long nowMillis) {
		return this.runners.values()
			.stream()
			.filter((state) -> SendCondition.firstUnmet(scope, state, nowMillis)
				.map(END_OF_PAUSE_SUFFICES::contains)
				.orElse(true))
			.mapToLong((state) -> state.intake().pauseLeftMillis(nowMillis))
			.min()
			.orElse(0);
	}

	/*
	 * Returns the time since the service was first seen in this state without a pause.
	 */
	private long recordLoading(ServiceName service, long nowMillis) {
		LoadingPeriod previous = this.loadingPeriods.get(service);
		boolean continued = previous != null && nowMillis - previous.lastSeenMillis() < LOADING_PAUSE_MILLIS;
		long sinceMillis = continued ? previous.sinceMillis() : nowMillis;
		this.loadingPeriods.put(service, new LoadingPeriod(sinceMillis, nowMillis));
		return nowMillis - sinceMillis;
	}

	/*
	 * Returns the time until the first runner of a pool that loads weights is reported to
	 * serve.
	 */
	private OptionalLong readyInMillis(CallScope scope, long nowMillis) {
		return this.runners.values()
			.stream()
			.filter((state) -> isInPool(state, scope))
			.map((state) -> state.readyInMillis(nowMillis))
			.filter(OptionalLong::isPresent)
			.mapToLong(OptionalLong::getAsLong)
			.min();
	}

	/*
	 * Returns the part of this gateway of the rate at which the runners of a pool take
	 * calls that have waited for them to load.
	 */
	private double releasesPerSecond(CallScope scope, Optional<EngineProfile> engine, int gateways) {
		long pool = this.runners.values().stream().filter((state) -> isInPool(state, scope)).count();
		return engine
			.map((profile) -> ServiceCompetition.RELEASED_PART * MILLIS_PER_SECOND * pool
					/ profile.completionIntervalMillis() / gateways)
			.orElse(0.0);
	}

	/**
	 * Returns the time until a runner of a service serves again.
	 * @param service the service
	 * @param residency where the calls may be served
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the reported time in milliseconds; empty if a runner serves now or it is
	 * unknown
	 */
	OptionalLong servesInMillis(ServiceName service, Residency residency, long nowMillis) {
		CallScope scope = new CallScope(service, models(service), residency, false);
		boolean served = this.runners.values()
			.stream()
			.anyMatch((state) -> isInPool(state, scope) && holdsUsableWeights(state, scope, nowMillis));
		return served ? OptionalLong.empty() : readyInMillis(scope, nowMillis);
	}

	private static boolean isInPool(RunnerState state, CallScope scope) {
		return state.runner().service().equals(scope.service()) && !state.isLeaving() && !state.isEvacuated()
				&& scope.residency().allows(state.region());
	}

	/*
	 * Whether fewer runners hold weights that may be used than are without any, as after
	 * a loss of power of all machines, or after the end of the time of the version that
	 * they serve. Runners that change from one version to another in time count as
	 * holding weights, since they change in turns and serve again soon.
	 */
	private boolean areMostLoading(CallScope scope, long nowMillis) {
		int holding = 0;
		int loading = 0;
		for (RunnerState state : this.runners.values()) {
			if (isInPool(state, scope)) {
				boolean holds = holdsUsableWeights(state, scope, nowMillis);
				holding += holds ? 1 : 0;
				loading += holds ? 0 : 1;
			}
		}
		return holding < loading;
	}

	private boolean holdsUsableWeights(RunnerState state, CallScope scope, long nowMillis) {
		Map<ModelName, Long> held = state.serves(scope.models(), nowMillis) ? state.servedVersions(nowMillis)
				: state.runner().models();
		return held.keySet().containsAll(scope.models()) && !state.isMisdirected(nowMillis)
				&& startLimitMillis(scope.models(), held) > nowMillis;
	}

	/**
	 * Returns what is published about the engines of a service.
	 * @param service the service
	 * @return the profile, empty for a service without engines
	 */
	Optional<EngineProfile> engine(ServiceName service) {
		return this.view.configuration().flatMap((configuration) -> configuration.engine(service));
	}

	private long startLimitMillis(List<ModelName> models, Map<ModelName, Long> serving) {
		long limit = DeclaredVersions.NO_START_LIMIT_MILLIS;
		for (ModelName model : models) {
			Long version = serving.get(model);
			limit = (version != null) ? Math.min(limit, this.versions.startLimitMillis(model, version)) : limit;
		}
		return limit;
	}

	/**
	 * Returns the remaining time for requests to start on given versions.
	 * @param service the service
	 * @param serving the version of each model
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the time in milliseconds, 0 or less if it has elapsed
	 */
	long startWithinMillis(ServiceName service, Map<ModelName, Long> serving, long nowMillis) {
		return startLimitMillis(models(service), serving) - nowMillis;
	}

	/**
	 * Describes the work that is left at each runner.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the descriptions by runner
	 */
	Map<String, String> describeWork(long nowMillis) {
		Map<String, String> work = new TreeMap<>();
		this.runners.forEach((id, state) -> work.put(id.toString(), state.work().describe(nowMillis)));
		return work;
	}

	/**
	 * Records a report of a loader on the runner on its machine.
	 * @param report the report
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void recordReport(RunnerMessage.RunnerUpdate report, long nowMillis) {
		this.runnersByAddress.getOrDefault(report.address(), List.of()).forEach((state) -> {
			Map<ModelName, Long> before = state.servedVersions(nowMillis);
			state.recordReport(report, nowMillis);
			if (!state.servedVersions(nowMillis).equals(before)) {
				this.changeListener.accept(state.service());
			}
		});
	}

	/**
	 * Records that a request on a connection that was reused has got no response.
	 * @param runner the runner at the other end
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void recordSilence(RunnerState runner, long nowMillis) {
		this.silentConnections.record(runner, this.runners.values(), nowMillis);
	}

	RunnerState state(RunnerId runner) {
		return this.runners.get(runner);
	}

	/**
	 * A period in which most runners of a service load weights.
	 *
	 * @param sinceMillis when it was first seen, in monotonic milliseconds
	 * @param lastSeenMillis when it was last seen, in monotonic milliseconds
	 */
	private record LoadingPeriod(long sinceMillis, long lastSeenMillis) {

	}

}
