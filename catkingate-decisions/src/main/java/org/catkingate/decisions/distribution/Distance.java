package org.catkingate.decisions.distribution;

/**
 * How far a source is, nearest first. Bytes are counted by it.
 *
 * @since 0.1
 */
public enum Distance {

	/** A peer in the same data centre. */
	DATA_CENTRE,

	/** A peer in another data centre of the region. */
	REGION,

	/** A peer in another region. */
	OTHER_REGION,

	/** The weight store. */
	STORE,

	/** The origin. */
	ORIGIN

}
