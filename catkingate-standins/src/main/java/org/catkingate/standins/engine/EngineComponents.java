package org.catkingate.standins.engine;

/**
 * The components shared by the generations of one engine. Immutable; the components are
 * safe for use by any thread.
 *
 * @param options the engine's options
 * @param memory the memory that contains the weights
 * @param scheduler the running and the queued generations
 * @param runs the runs that have ended
 */
record EngineComponents(EngineOptions options, WeightsMemory memory, GenerationScheduler scheduler, RunHistory runs) {

	static EngineComponents of(EngineOptions options) {
		WeightsMemory memory = new WeightsMemory(options.initialModel, options.initialVersion, options.initialDigest);
		return new EngineComponents(options, memory, new GenerationScheduler(options), new RunHistory());
	}

}
