package org.catkingate.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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

	private final Function<RegisteredRunner, RunnerState> states;

	private final DeclaredVersions versions;

	private final RunnerChoice policy;

	private RegistryView view = RegistryView.empty();

	RunnerTable(Function<RegisteredRunner, RunnerState> states, RunnerChoice policy, DeclaredVersions versions) {
		this.states = states;
		this.versions = versions;
		this.policy = policy;
	}

	void refresh(RegistryView next, long nowMillis) {
		if (this.view.configuration().isEmpty()) {
			this.versions.found(next.versions());
		}
		this.versions.declared(next.versions(), nowMillis);
		this.view = next;
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

	Choice choose(ServiceName service, Demand demand, Set<RunnerId> tried, int otherGateways, double draw,
			long nowMillis) {
		Optional<Engine> engine = this.view.configuration().flatMap((published) -> published.engine(service));
		double usualPrompt = engine.map(Engine::usualPromptTokens).orElse(0.0);
		Map<ModelName, Long> lowest = new HashMap<>();
		engine.ifPresent((known) -> known.models()
			.forEach((model) -> lowest.put(model, this.versions.lowest(model, nowMillis))));
		List<RunnerOption> options = new ArrayList<>();
		for (RunnerState state : this.runners.values()) {
			if (serves(state, service, lowest, nowMillis) && !tried.contains(state.runner().id())
					&& !state.isFull(nowMillis)) {
				options.add(state.option(usualPrompt, otherGateways, nowMillis));
			}
		}
		return this.policy.choose(options, demand, engine, draw);
	}

	private static boolean serves(RunnerState state, ServiceName service, Map<ModelName, Long> lowest, long nowMillis) {
		RegisteredRunner runner = state.runner();
		return runner.service().equals(service) && !runner.draining()
				&& lowest.entrySet()
					.stream()
					.allMatch((model) -> state.version(model.getKey(), nowMillis) >= model.getValue());
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
