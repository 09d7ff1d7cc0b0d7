package org.catkingate.decisions.distribution;

/**
 * What a region's reader does about a chunk that another region is to read from the
 * origin.
 *
 * @since 0.1
 */
public enum Preference {

	/** Reads the origin when it would otherwise have little to do. */
	TIME,

	/** Waits for the other region as long as its readers answer. */
	ORIGIN_BYTES

}
