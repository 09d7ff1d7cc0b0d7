package org.catkingate.decisions.loading;

import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.catkingate.decisions.Event;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;

/**
 * What happens while weights are brought to a runner.
 *
 * @since 0.1
 */
public sealed interface LoadEvent extends Event {

	/**
	 * The versions that are to be served.
	 *
	 * @param versions the version of each model
	 */
	record Declared(Map<ModelName, Long> versions) implements LoadEvent {

		public Declared {
			versions = Map.copyOf(versions);
		}

	}

	/**
	 * The runner's turn among those that change their version.
	 *
	 * @param model the model
	 * @param position its place, from 0
	 * @param count how many runners change
	 */
	record TurnTold(ModelName model, int position, int count) implements LoadEvent {

	}

	/**
	 * The runner has told what it does.
	 *
	 * @param startedAtEpochMillis when it started, in milliseconds since the epoch
	 * @param loading whether it carries out an order
	 * @param models the version of each model that it serves
	 */
	record Reported(long startedAtEpochMillis, boolean loading, Map<ModelName, Long> models) implements LoadEvent {

		public Reported {
			models = Map.copyOf(models);
		}

	}

	/**
	 * The runner gives no report.
	 */
	record Absent() implements LoadEvent {

	}

	/**
	 * The digests of a version have arrived.
	 *
	 * @param digests the digests
	 */
	record DigestsArrived(PieceDigests digests) implements LoadEvent {

		public DigestsArrived {
			Objects.requireNonNull(digests, "digests must not be null");
		}

	}

	/**
	 * The digests of a version could not be had.
	 *
	 * @param model the model
	 * @param version the version
	 */
	record DigestsFailed(ModelName model, long version) implements LoadEvent {

	}

	/**
	 * The staged pieces have been read back.
	 *
	 * @param model the model
	 * @param version the version whose digests they were compared with
	 * @param valid the numbers of the pieces that are right
	 */
	record Checked(ModelName model, long version, Set<Integer> valid) implements LoadEvent {

		public Checked {
			valid = Set.copyOf(valid);
		}

	}

	/**
	 * A piece has been fetched, verified and staged, or not.
	 *
	 * @param model the model
	 * @param version the version
	 * @param index the number of the piece
	 * @param staged whether it is staged now
	 * @param durationMillis how long that took, in milliseconds
	 */
	record PieceEnded(ModelName model, long version, int index, boolean staged,
			long durationMillis) implements LoadEvent {

	}

	/**
	 * The runner has answered the order to load.
	 *
	 * @param model the model
	 * @param version the version
	 * @param accepted whether it loads, or has loaded
	 */
	record Ordered(ModelName model, long version, boolean accepted) implements LoadEvent {

	}

	/**
	 * Time has passed.
	 */
	record Ticked() implements LoadEvent {

	}

}
