package org.catkingate.decisions.loading;

import org.catkingate.decisions.Effect;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;

/**
 * What bringing weights to a runner asks for.
 *
 * @since 0.1
 */
public sealed interface LoadEffect extends Effect {

	/**
	 * Ask for the digests of a version.
	 *
	 * @param model the model
	 * @param version the version
	 */
	record AskDigests(ModelName model, long version) implements LoadEffect {

	}

	/**
	 * Read the staged pieces back and compare them.
	 *
	 * @param digests what they are compared with
	 */
	record CheckStaged(PieceDigests digests) implements LoadEffect {

	}

	/**
	 * Fetch a piece, verify it and stage it.
	 *
	 * @param digests the digests of the version
	 * @param index the number of the piece
	 */
	record FetchPiece(PieceDigests digests, int index) implements LoadEffect {

	}

	/**
	 * Order the runner to load what is staged.
	 *
	 * @param model the model
	 * @param version the version
	 */
	record OrderLoad(ModelName model, long version) implements LoadEffect {

	}

	/**
	 * A step towards a version has been made.
	 *
	 * @param model the model
	 * @param version the version
	 * @param step the step that begins now
	 * @param sinceDeclaredMillis the time since the version was declared, in milliseconds
	 * @param missing how many pieces are missing
	 */
	record ReportStep(ModelName model, long version, LoadStep step, long sinceDeclaredMillis,
			int missing) implements LoadEffect {

	}

}
