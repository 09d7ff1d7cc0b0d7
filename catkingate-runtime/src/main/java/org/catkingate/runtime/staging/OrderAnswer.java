package org.catkingate.runtime.staging;

/**
 * What a runner says to an order.
 *
 * @since 0.1
 */
public enum OrderAnswer {

	/** It has begun. */
	BEGUN,

	/** It is done already. */
	IN_EFFECT,

	/** It does not fit the runner's state. */
	REFUSED

}
