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
 * What happens to the runners of one agent.
 *
 * @since 0.1
 */
public sealed interface RunnersEvent extends Event {

	/**
	 * Time has passed.
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
	 * The configuration or the fleet has changed.
	 *
	 * @param fleet what is known now
	 */
	record FleetChanged(FleetSnapshot fleet) implements RunnersEvent {

		public FleetChanged {
			Objects.requireNonNull(fleet, "fleet must not be null");
		}

	}

	/**
	 * The manifest of a wanted version is known.
	 *
	 * @param version the version
	 * @param manifest its manifest
	 */
	record VersionKnown(WeightsVersion version, Manifest manifest) implements RunnersEvent {

	}

	/**
	 * All chunks of a wanted version are held.
	 *
	 * @param version the version
	 * @param manifest its manifest
	 */
	record VersionComplete(WeightsVersion version, Manifest manifest) implements RunnersEvent {

	}

	/**
	 * A version is no longer wanted here.
	 *
	 * @param version the version
	 */
	record VersionDropped(VersionId version) implements RunnersEvent {

	}

	/**
	 * An engine has told its state.
	 *
	 * @param runner the runner
	 * @param requestedAtMillis when it was asked, in milliseconds of the monotonic clock
	 * @param digest the digest of the weights that it holds; null for none
	 * @param fence the highest fencing number that it has accepted
	 */
	record EngineReported(RunnerId runner, long requestedAtMillis, Digest digest, long fence) implements RunnersEvent {

	}

	/**
	 * An engine gave no state.
	 *
	 * @param runner the runner
	 */
	record EngineSilent(RunnerId runner) implements RunnersEvent {

	}

	/**
	 * An order has come to its end, whatever it was.
	 *
	 * @param runner the runner
	 * @param outcome how it ended
	 */
	record OrderEnded(RunnerId runner, Outcome outcome) implements RunnersEvent {

	}

	/**
	 * How an order ended.
	 */
	enum Outcome {

		/** The engine carried it out. */
		DONE,

		/** The engine has accepted a higher fencing number. */
		FENCED,

		/** It was not sent, since what it relied on was too old. */
		NOT_SENT,

		/** It failed, or nobody can tell. */
		FAILED

	}

}
