package org.catkingate.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;

import org.catkingate.decisions.admission.Choice;
import org.catkingate.decisions.admission.Demand;
import org.catkingate.decisions.admission.RunnerChoice;
import org.catkingate.decisions.admission.RunnerOption;
import org.catkingate.decisions.registry.RegistryView;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.Engine;
import org.catkingate.model.registry.RegisteredRunner;
import org.catkingate.wire.Runners;

/**
 * The runners that calls can be sent to. A runner that starts anew or moves is another
 * one, with none of what was known before. Used by the traffic thread only.
 */
final class RunnerTable {

	private final Map<RunnerId, RunnerState> runners = new HashMap<>();

	private static final SortedMap<Long, Long> NOTHING_DECLARED = new TreeMap<>();

	/** When each version of a model was heard of, in monotonic milliseconds. */
	private final Map<ModelName, SortedMap<Long, Long>> declared = new HashMap<>();

	/** Models with versions that were there when this process started. */
	private final Set<ModelName> ofUnknownAge = new HashSet<>();

	private final Function<RegisteredRunner, RunnerState> states;

	private final long changeMillis;

	private final RunnerChoice policy;

	private RegistryView view = RegistryView.empty();

	RunnerTable(Function<RegisteredRunner, RunnerState> states, RunnerChoice policy, long changeMillis) {
		this.states = states;
		this.changeMillis = changeMillis;
		this.policy = policy;
	}

	void refresh(RegistryView next, long nowMillis) {
		boolean atStart = this.view.configuration().isEmpty();
		this.view = next;
		next.versions().forEach((model, version) -> {
			boolean isNew = declared(model).putIfAbsent(version, nowMillis - (atStart ? this.changeMillis : 0)) == null;
			if (isNew && atStart) {
				this.ofUnknownAge.add(model);
			}
		});
		this.runners.entrySet().removeIf((entry) -> {
			RegisteredRunner now = next.runners().get(entry.getKey());
			boolean gone = now == null || !isSameLife(now, entry.getValue().runner());
			if (gone) {
				entry.getValue().close();
			}
			return gone;
		});
		next.runners()
			.forEach((id, runner) -> this.runners.computeIfAbsent(id, (key) -> this.states.apply(runner))
				.changed(runner));
	}

	private static boolean isSameLife(RegisteredRunner one, RegisteredRunner other) {
		return one.address().equals(other.address()) && one.startedAtEpochMillis() == other.startedAtEpochMillis()
				&& one.service().equals(other.service());
	}

	Choice choose(ServiceName service, Demand demand, Set<RunnerId> tried, double draw, long nowMillis) {
		Optional<Engine> engine = this.view.configuration().flatMap((published) -> published.engine(service));
		double usualPrompt = engine.map(Engine::usualPromptTokens).orElse(0.0);
		List<RunnerOption> options = new ArrayList<>();
		for (RunnerState state : this.runners.values()) {
			if (serves(state, service, engine, nowMillis) && !tried.contains(state.runner().id())
					&& !state.isFull(nowMillis)) {
				options.add(state.option(usualPrompt, nowMillis));
			}
		}
		return this.policy.choose(options, demand, engine, draw);
	}

	private boolean serves(RunnerState state, ServiceName service, Optional<Engine> engine, long nowMillis) {
		RegisteredRunner runner = state.runner();
		if (!runner.service().equals(service) || runner.draining()) {
			return false;
		}
		return engine.isEmpty() || engine.get()
			.models()
			.stream()
			.allMatch((model) -> state.version(model, nowMillis) >= lowestVersion(model, nowMillis));
	}

	private SortedMap<Long, Long> declared(ModelName model) {
		return this.declared.computeIfAbsent(model, (key) -> new TreeMap<>());
	}

	/**
	 * Takes another process's word on how long ago a version was declared. It counts
	 * where this process found the version there when it started, and cannot know by
	 * itself.
	 * @param told what the other says
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void told(Runners.VersionDeclared told, long nowMillis) {
		if (this.ofUnknownAge.contains(told.model()) && declared(told.model()).containsKey(told.version())) {
			declared(told.model()).put(told.version(), nowMillis - told.ageMillis());
		}
	}

	/**
	 * Lists what is declared, with the time since then.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return a message for each version
	 */
	List<Runners.VersionDeclared> declarations(long nowMillis) {
		List<Runners.VersionDeclared> messages = new ArrayList<>();
		this.declared.forEach((model, versions) -> versions.forEach(
				(version, heardAt) -> messages.add(new Runners.VersionDeclared(model, version, nowMillis - heardAt))));
		return messages;
	}

	/*
	 * The version that a request may begin on: any until a newer one has been declared
	 * for so long that it must be everywhere.
	 */
	private long lowestVersion(ModelName model, long nowMillis) {
		long lowest = RegistryView.FIRST_VERSION;
		for (Map.Entry<Long, Long> version : this.declared.getOrDefault(model, NOTHING_DECLARED).entrySet()) {
			if (nowMillis >= version.getValue() + this.changeMillis) {
				lowest = Math.max(lowest, version.getKey());
			}
		}
		return lowest;
	}

	/**
	 * Takes the word of a loader on the runner beside it.
	 * @param told what it says
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	void told(Runners.RunnerTold told, long nowMillis) {
		for (RunnerState state : this.runners.values()) {
			if (told.address().equals(state.runner().writtenAddress())) {
				state.told(told, nowMillis);
			}
		}
	}

	RunnerState state(RunnerId runner) {
		return this.runners.get(runner);
	}

}
