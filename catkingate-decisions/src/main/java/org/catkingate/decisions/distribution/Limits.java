package org.catkingate.decisions.distribution;

/**
 * Bounds of the distribution.
 */
final class Limits {

	/** Chunks in transfer at a time. */
	static final int MAX_TRANSFERS = 8;

	/**
	 * With fewer chunks in transfer the origin is read rather than another region waited
	 * for, where time matters more.
	 */
	static final int MAX_TRANSFERS_WITHOUT_WAITING = 3;

	/** Chunks in transfer at a time from one peer. */
	static final int MAX_TRANSFERS_PER_PEER = 2;

	/** Chunks in transfer at a time from origin, store or other regions, each. */
	static final int MAX_UPSTREAM_TRANSFERS = 3;

	/** The size of a slice within the region, in bytes. */
	static final int SLICE_BYTES = 128 * 1024;

	/** The size of a slice from origin, store or other regions, in bytes. */
	static final int UPSTREAM_SLICE_BYTES = 64 * 1024;

	/** Slices asked for at a time in one transfer within the region. */
	static final int MAX_SLICES_PER_TRANSFER = 3;

	/** How many ranks of readers are kept for a chunk. */
	static final int MAX_RANKS = 8;

	/** Neighbours in the own data centre that an instance chooses. */
	static final int NEIGHBOURS_IN_DATA_CENTRE = 4;

	/** Neighbours in other data centres of the region that an instance chooses. */
	static final int NEIGHBOURS_IN_REGION = 2;

	/** The silence after which the next in rank looks after a chunk, in milliseconds. */
	static final long READER_TIMEOUT_MILLIS = 2000;

	/** How long a transfer may stand still, in milliseconds. */
	static final long STALL_TIMEOUT_MILLIS = 3000;

	/** How long a data centre waits for its own first in rank, in milliseconds. */
	static final long DATA_CENTRE_TIMEOUT_MILLIS = 1000;

	/** How long neighbours are given to say what they hold, in milliseconds. */
	static final long ANNOUNCEMENT_TIMEOUT_MILLIS = 500;

	/** The shortest time between two announcements to a peer, in milliseconds. */
	static final long MIN_ANNOUNCE_INTERVAL_MILLIS = 100;

	/** The first wait after a failure of a source, in milliseconds. */
	static final long INITIAL_BACKOFF_MILLIS = 500;

	/** The longest wait after failures of a source, in milliseconds. */
	static final long MAX_BACKOFF_MILLIS = 30_000;

	/** How long a peer that sent corrupt bytes is set aside, in milliseconds. */
	static final long CORRUPT_BACKOFF_MILLIS = 60_000;

	/**
	 * How long a region waits in vain for another region before it reads the origin, in
	 * milliseconds.
	 */
	static final long OTHER_REGION_TIMEOUT_MILLIS = 15_000;

	/**
	 * How long a peer that did not have what it announced is set aside, in milliseconds.
	 */
	static final long FALSE_ANNOUNCEMENT_BACKOFF_MILLIS = 5000;

	/**
	 * How long a reader that does not want the version is set aside, in milliseconds: it
	 * may have an older configuration, or no room.
	 */
	static final long UNWANTED_BACKOFF_MILLIS = 5000;

	/** The wait between two questions for a manifest, in milliseconds. */
	static final long MANIFEST_RETRY_MILLIS = 200;

	/** After so many questions to peers a manifest is asked of the origin. */
	static final int MAX_MANIFEST_REQUESTS_TO_PEERS = 10;

	/** How long an answer with a manifest may take, in milliseconds. */
	static final long MANIFEST_TIMEOUT_MILLIS = 2000;

	/** The shortest wait before a refused chunk is asked for again, in milliseconds. */
	static final long MIN_RETRY_MILLIS = 50;

	private Limits() {
	}

}
