package org.catkingate.decisions.routing;

/**
 * How far a runner is from this process, the nearest first.
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
