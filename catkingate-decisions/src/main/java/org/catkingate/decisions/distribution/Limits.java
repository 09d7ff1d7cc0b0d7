package org.catkingate.decisions.distribution;

/**
 * The limits and timeouts of the distribution.
 */
final class Limits {

	/** The maximum number of chunks in transfer at the same time. */
	static final int MAX_TRANSFERS = 8;

	/**
	 * The number of chunks in transfer below which the origin is read instead of waiting
	 * for another region, if {@link SourcePreference#TIME} is set.
	 */
	static final int MAX_TRANSFERS_WITHOUT_WAITING = 3;

	/** The maximum number of chunks in transfer from one peer at the same time. */
	static final int MAX_TRANSFERS_PER_PEER = 2;

	/**
	 * The maximum number of chunks in transfer at the same time from the origin, from the
	 * store and from other regions, for each of the three.
	 */
	static final int MAX_UPSTREAM_TRANSFERS = 3;

	/** The size of a slice within the region, in bytes. */
	static final int SLICE_BYTES = 128 * 1024;

	/** The size of a slice from the origin, the store or other regions, in bytes. */
	static final int UPSTREAM_SLICE_BYTES = 64 * 1024;

	/**
	 * The maximum number of slices requested at the same time in one transfer within the
	 * region.
	 */
	static final int MAX_SLICES_PER_TRANSFER = 3;

	/** The maximum number of ranked readers kept for a chunk. */
	static final int MAX_RANKS = 8;

	/** The number of neighbours that an instance chooses in its own data centre. */
	static final int NEIGHBOURS_IN_DATA_CENTRE = 4;

	/**
	 * The number of neighbours that an instance chooses in other data centres of its
	 * region.
	 */
	static final int NEIGHBOURS_IN_REGION = 2;

	/**
	 * The time without progress after which the next instance in rank takes over a chunk,
	 * in milliseconds.
	 */
	static final long READER_TIMEOUT_MILLIS = 2000;

	/** The time without progress after which a transfer is abandoned, in milliseconds. */
	static final long STALL_TIMEOUT_MILLIS = 3000;

	/**
	 * The time that a data centre waits for its first instance in rank to fetch a chunk,
	 * in milliseconds.
	 */
	static final long DATA_CENTRE_TIMEOUT_MILLIS = 1000;

	/**
	 * The time that neighbours have to announce the chunks that they hold, in
	 * milliseconds.
	 */
	static final long ANNOUNCEMENT_TIMEOUT_MILLIS = 500;

	/** The minimum time between two announcements to a peer, in milliseconds. */
	static final long MIN_ANNOUNCE_INTERVAL_MILLIS = 100;

	/** The first backoff after a failure of a source, in milliseconds. */
	static final long INITIAL_BACKOFF_MILLIS = 500;

	/** The maximum backoff after failures of a source, in milliseconds. */
	static final long MAX_BACKOFF_MILLIS = 30_000;

	/**
	 * The time for which a peer that sent corrupt bytes is suspended, in milliseconds.
	 */
	static final long CORRUPT_BACKOFF_MILLIS = 60_000;

	/**
	 * The time without progress after which a region stops waiting for another region and
	 * reads the origin, in milliseconds.
	 */
	static final long OTHER_REGION_TIMEOUT_MILLIS = 15_000;

	/**
	 * The time for which a peer that did not have a chunk that it announced is suspended,
	 * in milliseconds.
	 */
	static final long FALSE_ANNOUNCEMENT_BACKOFF_MILLIS = 5000;

	/**
	 * The time for which a reader that does not want the version is suspended, in
	 * milliseconds. It may have an older configuration, or no memory for the version.
	 */
	static final long UNWANTED_VERSION_BACKOFF_MILLIS = 5000;

	/** The minimum wait after a failed request for a manifest, in milliseconds. */
	static final long MIN_MANIFEST_RETRY_MILLIS = 200;

	/**
	 * The number of requests to peers after which a manifest is requested from the origin
	 * or the store.
	 */
	static final int MAX_MANIFEST_REQUESTS_TO_PEERS = 10;

	/**
	 * The time after which a manifest is requested again if there was no response, in
	 * milliseconds.
	 */
	static final long MANIFEST_TIMEOUT_MILLIS = 2000;

	/** The minimum wait before a rejected chunk is requested again, in milliseconds. */
	static final long MIN_CHUNK_RETRY_MILLIS = 50;

	private Limits() {
	}

}
