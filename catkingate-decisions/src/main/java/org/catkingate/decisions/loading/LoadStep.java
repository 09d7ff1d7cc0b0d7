package org.catkingate.decisions.loading;

/**
 * The steps on the way of a version to a runner.
 *
 * @since 0.1
 */
public enum LoadStep {

	/** The digests of the pieces are asked for. */
	ASKING,

	/** The staged pieces are read back. */
	CHECKING,

	/** Missing pieces are fetched and staged. */
	FETCHING,

	/** All pieces are staged; the runner serves on until its turn. */
	WAITING,

	/** The runner has been ordered to load. */
	ORDERED,

	/** The runner serves the version. */
	SETTLED

}
