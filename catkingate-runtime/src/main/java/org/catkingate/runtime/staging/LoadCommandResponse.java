package org.catkingate.runtime.staging;

/**
 * The response of a runner to the command to load weights.
 *
 * @since 0.1
 */
public enum LoadCommandResponse {

	/** The runner has started to load the weights. */
	BEGUN,

	/** The runner has already loaded the weights. */
	IN_EFFECT,

	/** The runner rejects the command, since it does not fit its state. */
	REFUSED

}
