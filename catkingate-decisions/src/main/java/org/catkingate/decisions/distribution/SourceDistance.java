package org.catkingate.decisions.distribution;

/**
 * The distance of a source, nearest first. Received bytes are counted by distance.
 *
 * @since 0.1
 */
public enum SourceDistance {

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
