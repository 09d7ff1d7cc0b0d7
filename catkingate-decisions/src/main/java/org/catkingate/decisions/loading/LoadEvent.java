package org.catkingate.decisions.loading;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.catkingate.decisions.Event;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;

/**
 * An event in loading weights to a runner.
 *
 * @since 0.1
 */
public sealed interface LoadEvent extends Event {

	/**
	 * The declaration of the versions that are to be served.
	 *
	 * @param versions the version of each model
	 */
	record Declared(Map<ModelName, Long> versions) implements LoadEvent {

		public Declared {
			versions = Map.copyOf(versions);
		}

	}

	/**
	 * The assignment of the runner's turn among the runners that change their version.
	 *
	 * @param model the model
	 * @param position the position of the runner in the sequence of turns, from 0
	 * @param count the number of runners that change
	 */
	record TurnAssigned(ModelName model, int position, int count) implements LoadEvent {

	}

	/**
	 * A report of the runner. Its text form appears in the state that a loader shows to
	 * operators.
	 *
	 * @param startedAtEpochMillis when the runner started, in milliseconds since the
	 * epoch
	 * @param loading whether the runner is carrying out a load command
	 * @param models the version of each model that the runner serves
	 */
	record Reported(long startedAtEpochMillis, boolean loading, Map<ModelName, Long> models) implements LoadEvent {

		public Reported {
			models = Map.copyOf(models);
		}

	}

	/**
	 * The failure of a request for a report of the runner.
	 */
	record RunnerUnavailable() implements LoadEvent {

	}

	/**
	 * The arrival of the digests of a version.
	 *
	 * @param digests the digests
	 */
	record DigestsArrived(PieceDigests digests) implements LoadEvent {

		public DigestsArrived {
			Objects.requireNonNull(digests, "digests must not be null");
		}

	}

	/**
	 * The failure to obtain the digests of a version.
	 *
	 * @param model the model
	 * @param version the version
	 */
	record DigestsFailed(ModelName model, long version) implements LoadEvent {

	}

	/**
	 * The result of reading the staged pieces back.
	 *
	 * @param model the model
	 * @param version the version whose digests the pieces were compared with
	 * @param valid the indexes of the pieces that match their digests
	 */
	record StagedPiecesChecked(ModelName model, long version, Set<Integer> valid) implements LoadEvent {

		public StagedPiecesChecked {
			valid = Set.copyOf(valid);
		}

	}

	/**
	 * The end of fetching, verifying and staging a piece, with or without success.
	 *
	 * @param model the model
	 * @param version the version
	 * @param index the index of the piece
	 * @param staged whether the piece is staged now
	 * @param durationMillis the duration, in milliseconds
	 */
	record PieceFetchEnded(ModelName model, long version, int index, boolean staged,
			long durationMillis) implements LoadEvent {

	}

	/**
	 * The statement of a gateway that it waits for pieces itself.
	 *
	 * @param digests the digests of the pieces, in hexadecimal digits; other text is
	 * ignored
	 */
	record PiecesPending(List<String> digests) implements LoadEvent {

		public PiecesPending {
			digests = List.copyOf(digests);
		}

	}

	/**
	 * The end of a load command to the runner, with or without a response.
	 *
	 * @param model the model
	 * @param version the version
	 * @param accepted whether the runner may be loading the version or may have loaded
	 * it; false only if it rejected the command
	 */
	record LoadCommandResponded(ModelName model, long version, boolean accepted) implements LoadEvent {

	}

	/**
	 * A periodic tick, by which timeouts are detected.
	 */
	record Ticked() implements LoadEvent {

	}

}
