package org.catkingate.decisions.pieces;

/**
 * How a read from the origin ended.
 *
 * @since 0.1
 */
public enum OriginReadOutcome {

	/** The origin sent the expected bytes. */
	SUCCEEDED,

	/** The origin sent bytes that do not match their digest. */
	CORRUPT,

	/** The origin sent nothing. */
	FAILED

}
