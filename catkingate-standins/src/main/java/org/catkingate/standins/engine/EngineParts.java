package org.catkingate.standins.engine;

/**
 * What the generations of one engine share. Immutable; its parts are safe for use by any
 * thread.
 *
 * @param options the engine's options
 * @param memory its weights
 * @param batch what runs and waits
 * @param runs what has run
 */
record EngineParts(EngineOptions options, WeightsMemory memory, Batch batch, Runs runs) {

	static EngineParts of(EngineOptions options) {
		WeightsMemory memory = new WeightsMemory(options.initialModel, options.initialVersion, options.initialDigest);
		return new EngineParts(options, memory, new Batch(options), new Runs());
	}

}
