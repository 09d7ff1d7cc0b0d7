package org.catkingate.decisions.routing;

/**
 * The distance of a runner from this process, ordered from the nearest to the farthest.
 *
 * @since 0.1
 */
public enum Distance {

	/** In the same data centre. */
	DATA_CENTRE,

	/** In another data centre of the same region. */
	REGION,

	/** In another region. */
	ELSEWHERE

}
