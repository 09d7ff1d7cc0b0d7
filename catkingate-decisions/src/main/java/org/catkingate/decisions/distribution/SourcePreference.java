package org.catkingate.decisions.distribution;

/**
 * The preference between a short download time and few bytes read from the origin. It
 * decides what a region does about a chunk that another region is to read from the
 * origin, and whether the origin or the weight store is read first.
 *
 * @since 0.1
 */
public enum SourcePreference {

	/** Reads the origin while few chunks are in transfer, and before the store. */
	TIME,

	/**
	 * Waits for the other region while its readers respond, and reads the store first.
	 */
	ORIGIN_BYTES

}
