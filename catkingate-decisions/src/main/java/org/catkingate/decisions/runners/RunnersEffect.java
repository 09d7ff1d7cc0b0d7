package org.catkingate.decisions.runners;

import org.catkingate.decisions.Effect;
import org.catkingate.model.Digest;
import org.catkingate.model.Manifest;
import org.catkingate.model.RunnerId;
import org.catkingate.model.VersionId;

/**
 * An effect on the runners of one agent.
 *
 * @since 0.1
 */
public sealed interface RunnersEffect extends Effect {

	/**
	 * An instruction to open the gate of a runner, so that it receives requests.
	 *
	 * @param runner the runner
	 * @param version the version that the runner serves; null for a plain service
	 * @param digest the digest of the weights; null for a plain service
	 */
	record OpenGate(RunnerId runner, VersionId version, Digest digest) implements RunnersEffect {

	}

	/**
	 * An instruction to close the gate of a runner, so that it receives no more requests.
	 *
	 * @param runner the runner
	 */
	record CloseGate(RunnerId runner) implements RunnersEffect {

	}

	/**
	 * An instruction to request the state of an engine.
	 *
	 * @param runner the runner
	 */
	record RequestState(RunnerId runner) implements RunnersEffect {

	}

	/**
	 * An instruction to command an engine to load a version.
	 *
	 * @param runner the runner
	 * @param manifest the manifest of the version
	 * @param fence the fencing number
	 * @param notAfterMillis the monotonic time after which the command must not be sent,
	 * in milliseconds, since the report that it relies on is then too old
	 */
	record SendLoadCommand(RunnerId runner, Manifest manifest, long fence,
			long notAfterMillis) implements RunnersEffect {

	}

}
