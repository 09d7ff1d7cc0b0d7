package org.catkingate.standins.engine;

/**
 * What the generations of one engine share. Immutable; its parts are safe for use by any
 * thread.
 *
 * @param options the engine's options
 * @param memory its weights
 * @param scheduler what runs and waits
 * @param runs what has run
 */
record EngineContext(EngineOptions options, WeightsMemory memory, GenerationScheduler scheduler, RunHistory runs) {

	static EngineContext of(EngineOptions options) {
		WeightsMemory memory = new WeightsMemory(options.initialModel, options.initialVersion, options.initialDigest);
		return new EngineContext(options, memory, new GenerationScheduler(options), new RunHistory());
	}

}
