package org.catkingate.decisions.runners;

import org.catkingate.decisions.Effect;
import org.catkingate.model.Digest;
import org.catkingate.model.Manifest;
import org.catkingate.model.RunnerId;
import org.catkingate.model.VersionId;

/**
 * What is to be done to the runners of one agent.
 *
 * @since 0.1
 */
public sealed interface RunnersEffect extends Effect {

	/**
	 * Let requests in.
	 *
	 * @param runner the runner
	 * @param version the version that it serves; null for a plain service
	 * @param digest the digest of its weights; null for a plain service
	 */
	record OpenGate(RunnerId runner, VersionId version, Digest digest) implements RunnersEffect {

	}

	/**
	 * Let no more requests in.
	 *
	 * @param runner the runner
	 */
	record CloseGate(RunnerId runner) implements RunnersEffect {

	}

	/**
	 * Ask an engine for its state.
	 *
	 * @param runner the runner
	 */
	record AskState(RunnerId runner) implements RunnersEffect {

	}

	/**
	 * Order an engine to load a version.
	 *
	 * @param runner the runner
	 * @param manifest the version
	 * @param fence the fencing number
	 * @param notAfterMillis the monotonic time after which the order must not be sent, as
	 * what it relies on is then too old
	 */
	record OrderLoad(RunnerId runner, Manifest manifest, long fence, long notAfterMillis) implements RunnersEffect {

	}

}
