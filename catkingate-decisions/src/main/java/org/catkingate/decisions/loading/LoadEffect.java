package org.catkingate.decisions.loading;

import org.catkingate.decisions.Effect;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;

/**
 * An effect of loading weights to a runner, to be carried out by the loader.
 *
 * @since 0.1
 */
public sealed interface LoadEffect extends Effect {

	/**
	 * An instruction to request the digests of a version.
	 *
	 * @param model the model
	 * @param version the version
	 */
	record RequestDigests(ModelName model, long version) implements LoadEffect {

	}

	/**
	 * An instruction to read the staged pieces back and compare them with their digests.
	 *
	 * @param digests the digests to compare with
	 */
	record CheckStaged(PieceDigests digests) implements LoadEffect {

	}

	/**
	 * An instruction to fetch a piece, verify it and stage it.
	 *
	 * @param digests the digests of the version
	 * @param index the index of the piece
	 */
	record FetchPiece(PieceDigests digests, int index) implements LoadEffect {

	}

	/**
	 * An instruction to command the runner to load the staged pieces.
	 *
	 * @param model the model
	 * @param version the version
	 */
	record SendLoadCommand(ModelName model, long version) implements LoadEffect {

	}

	/**
	 * An instruction to report that the load of a version has reached the next step.
	 *
	 * @param model the model
	 * @param version the version
	 * @param step the step that begins now
	 * @param sinceDeclaredMillis the time since the version was declared, in milliseconds
	 * @param missingCount the number of missing pieces, -1 while the digests are unknown
	 */
	record ReportStep(ModelName model, long version, LoadStep step, long sinceDeclaredMillis,
			int missingCount) implements LoadEffect {

	}

}
