package org.catkingate.agent.weights;

import java.util.Map;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.catkingate.agent.runners.RunnerGate;
import org.catkingate.decisions.Event;
import org.catkingate.decisions.runners.RunnersEffect;
import org.catkingate.decisions.runners.RunnersEvent;
import org.catkingate.model.Digest;
import org.catkingate.model.Manifest;
import org.catkingate.model.RunnerId;
import org.catkingate.runtime.MonotonicClock;

/**
 * Executor of the effects on runners, which submits their results as events. Safe for use
 * by any thread; nothing blocks.
 */
final class RunnersEffectExecutor {

	private static final Logger logger = LoggerFactory.getLogger(RunnersEffectExecutor.class);

	private final Map<RunnerId, RunnerGate> gates;

	private final Map<RunnerId, EngineClient> engines;

	private final ChunkMemory memory;

	private final MonotonicClock clock;

	private final Consumer<Event> events;

	RunnersEffectExecutor(WeightsDependencies dependencies, Map<RunnerId, RunnerGate> gates, ChunkMemory memory,
			Consumer<Event> events) {
		this.gates = Map.copyOf(gates);
		this.engines = dependencies.engines();
		this.memory = memory;
		this.clock = dependencies.clock();
		this.events = events;
	}

	void execute(RunnersEffect effect) {
		if (effect instanceof RunnersEffect.OpenGate open) {
			this.gates.get(open.runner()).open(open.version(), open.digest());
			log("gate-opened", open.runner(), String.valueOf(open.version()));
		}
		else if (effect instanceof RunnersEffect.CloseGate close) {
			this.gates.get(close.runner()).close();
			log("gate-closed", close.runner(), "");
		}
		else if (effect instanceof RunnersEffect.RequestState request) {
			requestState(request.runner());
		}
		else if (effect instanceof RunnersEffect.SendLoadCommand command) {
			load(command);
		}
	}

	private void requestState(RunnerId runner) {
		long requestedAt = this.clock.millis();
		this.engines.get(runner).requestState().whenComplete((state, ex) -> {
			if (ex != null) {
				log("engine-silent", runner, ex.getMessage());
				this.events.accept(new RunnersEvent.EngineUnresponsive(runner));
			}
			else {
				this.events.accept(new RunnersEvent.EngineReported(runner, requestedAt, state.digest(), state.fence()));
			}
		});
	}

	private void load(RunnersEffect.SendLoadCommand command) {
		if (this.clock.millis() > command.notAfterMillis()) {
			this.events.accept(new RunnersEvent.LoadCommandEnded(command.runner(), RunnersEvent.Outcome.NOT_SENT));
			return;
		}
		Manifest manifest = command.manifest();
		log("load-ordered", command.runner(), manifest.version() + " fence " + command.fence());
		this.engines.get(command.runner())
			.load(manifest, command.fence(), (index, offset, length) -> read(manifest, index, offset, length))
			.whenComplete((state, ex) -> {
				log("load-ended", command.runner(), (ex != null) ? ex.getMessage() : String.valueOf(state.digest()));
				this.events.accept(new RunnersEvent.LoadCommandEnded(command.runner(), outcome(ex)));
			});
	}

	private byte[] read(Manifest manifest, int index, int offset, int length) throws WeightsException {
		Digest chunk = manifest.chunks().get(index);
		return this.memory.read(chunk, offset, length)
			.orElseThrow(() -> new WeightsException(WeightsException.Kind.NOT_FOUND,
					"chunk " + index + " of " + manifest.version()
							+ " is no longer in memory; the version was dropped while it was being loaded"));
	}

	private static RunnersEvent.Outcome outcome(Throwable ex) {
		if (ex == null) {
			return RunnersEvent.Outcome.DONE;
		}
		boolean fenced = ex instanceof WeightsException failure && failure.kind() == WeightsException.Kind.FENCED;
		return fenced ? RunnersEvent.Outcome.FENCED : RunnersEvent.Outcome.FAILED;
	}

	private static void log(String event, RunnerId runner, String detail) {
		logger.atInfo()
			.addKeyValue("event", event)
			.addKeyValue("runner", runner)
			.addKeyValue("detail", detail)
			.log("runner event");
	}

}
