package org.catkingate.decisions.loading;

/**
 * A step in loading a version to a runner.
 *
 * @since 0.1
 */
public enum LoadStep {

	/** The digests of the pieces are requested. */
	ASKING,

	/** The staged pieces are read back and compared with their digests. */
	CHECKING,

	/** The missing pieces are fetched and staged. */
	FETCHING,

	/** All pieces are staged; the runner serves its previous version until its turn. */
	WAITING,

	/** The runner has been commanded to load the version. */
	ORDERED,

	/** The runner serves the version, or the load has not been started. */
	SETTLED

}
