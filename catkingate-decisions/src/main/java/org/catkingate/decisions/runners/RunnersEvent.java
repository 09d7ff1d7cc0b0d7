package org.catkingate.decisions.runners;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.catkingate.decisions.Event;
import org.catkingate.decisions.membership.FleetSnapshot;
import org.catkingate.model.Digest;
import org.catkingate.model.Manifest;
import org.catkingate.model.RunnerId;
import org.catkingate.model.VersionId;
import org.catkingate.model.published.WeightsVersion;

/**
 * An event that concerns the runners of one agent.
 *
 * @since 0.1
 */
public sealed interface RunnersEvent extends Event {

	/**
	 * A periodic tick, by which timeouts are detected.
	 *
	 * @param inProgress the requests in progress on each runner
	 * @param closed the runners whose gates are closed
	 */
	record Ticked(Map<RunnerId, Integer> inProgress, Set<RunnerId> closed) implements RunnersEvent {

		public Ticked {
			inProgress = Map.copyOf(inProgress);
			closed = Set.copyOf(closed);
		}

	}

	/**
	 * A change of the configuration or the fleet.
	 *
	 * @param fleet the current configuration and fleet
	 */
	record FleetChanged(FleetSnapshot fleet) implements RunnersEvent {

		public FleetChanged {
			Objects.requireNonNull(fleet, "fleet must not be null");
		}

	}

	/**
	 * A notification that the manifest of a wanted version is known.
	 *
	 * @param version the version
	 * @param manifest its manifest
	 */
	record VersionKnown(WeightsVersion version, Manifest manifest) implements RunnersEvent {

	}

	/**
	 * A notification that all chunks of a wanted version are held.
	 *
	 * @param version the version
	 * @param manifest its manifest
	 */
	record VersionComplete(WeightsVersion version, Manifest manifest) implements RunnersEvent {

	}

	/**
	 * A notification that a version is no longer wanted on this instance.
	 *
	 * @param version the version
	 */
	record VersionDropped(VersionId version) implements RunnersEvent {

	}

	/**
	 * A report of an engine about its state.
	 *
	 * @param runner the runner
	 * @param requestedAtMillis when the report was requested, in milliseconds of the
	 * monotonic clock
	 * @param digest the digest of the weights that the engine holds; null for none
	 * @param fence the highest fencing number that the engine has accepted
	 */
	record EngineReported(RunnerId runner, long requestedAtMillis, Digest digest, long fence) implements RunnersEvent {

	}

	/**
	 * The failure of an engine to report its state.
	 *
	 * @param runner the runner
	 */
	record EngineUnresponsive(RunnerId runner) implements RunnersEvent {

	}

	/**
	 * The end of a load command, with any outcome.
	 *
	 * @param runner the runner
	 * @param outcome the outcome of the command
	 */
	record LoadCommandEnded(RunnerId runner, Outcome outcome) implements RunnersEvent {

	}

	/**
	 * The outcome of a load command.
	 */
	enum Outcome {

		/** The engine carried out the command. */
		DONE,

		/** The engine has accepted a higher fencing number. */
		FENCED,

		/** The command was not sent, since the report that it relied on was too old. */
		NOT_SENT,

		/** The command failed, or its outcome is unknown. */
		FAILED

	}

}
