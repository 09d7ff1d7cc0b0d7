package org.catkingate.decisions.pieces;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;

/**
 * The reads from the origin that one gateway is to carry out. Each subject is read by at
 * most one read at a time. The newest version of a model comes first, and reads of older
 * versions become obsolete when a newer one is declared, unless only the older one can
 * arrive in time. While the origin is unavailable, one read at a time probes it with
 * back-off, and all others continue when one succeeds. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class OriginReads {

	/** The delay of the first probe after a failure. */
	private static final long MIN_PROBE_DELAY_MILLIS = 50;

	/**
	 * The maximum delay between two probes: the time that the return of the origin may
	 * remain undetected, out of the 700 ms that a version may be late.
	 */
	private static final long MAX_PROBE_DELAY_MILLIS = 200;

	/**
	 * The time after which a probe without a response no longer delays the next one. An
	 * origin that drops packets lets a probe wait for its time limit of seconds.
	 */
	private static final long PROBE_PATIENCE_MILLIS = 500;

	/** The maximum number of probes without a response. */
	private static final int MAX_OPEN_PROBES = 4;

	/**
	 * The number of failures, other than by an outage, after which a read is given up.
	 */
	private static final int MAX_FAILURES = 3;

	/** The weight of a new measurement in the mean time for a piece. */
	private static final double PIECE_TIME_WEIGHT = 0.25;

	private final Map<OriginRead, Failures> waiting = new LinkedHashMap<>();

	private final Map<OriginRead, Started> inProgress = new LinkedHashMap<>();

	private final Map<ModelName, Long> newest = new HashMap<>();

	private final Map<ModelName, Integer> readsOfNewest = new HashMap<>();

	private final Map<ModelName, Long> olderFirst = new HashMap<>();

	private boolean available = true;

	private long unavailableSinceMillis;

	private long probeDelayMillis;

	private long nextProbeAtMillis;

	private long successes;

	private long lastSuccessAtMillis = Long.MIN_VALUE;

	private double pieceMillis;

	/**
	 * Returns whether the last read that ended shows the origin to be available.
	 * @return whether it is available
	 */
	public boolean isAvailable() {
		return this.available;
	}

	/**
	 * Returns since when the origin has been unavailable.
	 * @return the time, in monotonic milliseconds; undefined if it is available
	 */
	public long unavailableSinceMillis() {
		return this.unavailableSinceMillis;
	}

	/**
	 * Records that the digests of a version have arrived. If it is newer than those
	 * known, decides whether the reads of the version before are obsolete.
	 * @param digests the digests of the version
	 * @param times the times of the version before
	 * @param nowMillis the time now, in monotonic milliseconds
	 */
	public void declare(PieceDigests digests, VersionTimes times, long nowMillis) {
		ModelName model = digests.model();
		Long previous = this.newest.get(model);
		if (previous != null && previous >= digests.version()) {
			return;
		}
		this.newest.put(model, digests.version());
		int readsBefore = this.readsOfNewest.getOrDefault(model, 0);
		this.readsOfNewest.remove(model);
		this.olderFirst.remove(model);
		if (previous != null && this.available) {
			int missing = (int) this.waiting.keySet().stream().filter((read) -> isOf(read, model, previous)).count();
			// this gateway reads a similar part of each version
			int newestMissing = Math.max(missing, readsBefore);
			if (missing > 0 && times.isOlderFirst(missing, newestMissing, this.pieceMillis, nowMillis)) {
				this.olderFirst.put(model, previous);
			}
		}
	}

	private static boolean isOf(OriginRead read, ModelName model, long version) {
		return read.model().equals(model) && read.version() == version;
	}

	/**
	 * Returns whether no bytes of the origin are spent on a version any more.
	 * @param model the model
	 * @param version the version
	 * @return whether a newer version replaces it
	 */
	public boolean isObsolete(ModelName model, long version) {
		return version < this.newest.getOrDefault(model, version)
				&& version != this.olderFirst.getOrDefault(model, Long.MIN_VALUE);
	}

	/**
	 * Adds a read, unless it waits or is in progress already.
	 * @param read the read, which must not be obsolete
	 */
	public void add(OriginRead read) {
		if (!this.inProgress.containsKey(read) && this.waiting.putIfAbsent(read, Failures.NONE) == null
				&& read.version() == this.newest.getOrDefault(read.model(), Long.MIN_VALUE)) {
			this.readsOfNewest.merge(read.model(), 1, Integer::sum);
		}
	}

	/**
	 * Removes the waiting reads that have become obsolete.
	 * @return the reads, never null
	 */
	public List<OriginRead> removeObsolete() {
		List<OriginRead> obsolete = this.waiting.keySet()
			.stream()
			.filter((read) -> isObsolete(read.model(), read.version()))
			.toList();
		obsolete.forEach(this.waiting::remove);
		return obsolete;
	}

	/**
	 * Takes the reads to start now.
	 * @param maxConcurrent the maximum number of concurrent reads
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the reads in order, never null
	 */
	public List<OriginRead> start(int maxConcurrent, long nowMillis) {
		List<OriginRead> started = new ArrayList<>();
		while (canStart(maxConcurrent, nowMillis)) {
			OriginRead read = first().get();
			this.inProgress.put(read, new Started(nowMillis, this.waiting.remove(read)));
			started.add(read);
		}
		return started;
	}

	private boolean canStart(int maxConcurrent, long nowMillis) {
		if (this.waiting.isEmpty()) {
			return false;
		}
		if (this.available) {
			return this.inProgress.size() < maxConcurrent;
		}
		return nowMillis >= this.nextProbeAtMillis && this.inProgress.size() < MAX_OPEN_PROBES
				&& this.inProgress.values().stream().noneMatch((read) -> isRecentProbe(read, nowMillis));
	}

	private boolean isRecentProbe(Started read, long nowMillis) {
		return nowMillis - Math.max(read.atMillis(), this.unavailableSinceMillis) < PROBE_PATIENCE_MILLIS;
	}

	/*
	 * Loaders request pieces in the order of their index.
	 */
	private Optional<OriginRead> first() {
		return this.waiting.keySet()
			.stream()
			.min(Comparator.comparingInt(this::rank)
				.thenComparing((read) -> read.index() != OriginRead.DIGESTS)
				.thenComparingInt((read) -> this.waiting.get(read).count())
				.thenComparing(Comparator.comparingLong(OriginRead::version).reversed())
				.thenComparingInt(OriginRead::index));
	}

	private int rank(OriginRead read) {
		Long older = this.olderFirst.get(read.model());
		boolean preferred = (older != null) ? read.version() == older
				: read.version() >= this.newest.getOrDefault(read.model(), read.version());
		return preferred ? 0 : 1;
	}

	/**
	 * Returns when {@link #start} may return a read although none has ended.
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return the time, in monotonic milliseconds; empty if only the end of a read
	 * matters
	 */
	public OptionalLong nextStartMillis(long nowMillis) {
		if (this.available || this.waiting.isEmpty() || this.inProgress.size() >= MAX_OPEN_PROBES) {
			return OptionalLong.empty();
		}
		long patienceEnds = this.inProgress.values()
			.stream()
			.mapToLong((read) -> Math.max(read.atMillis(), this.unavailableSinceMillis) + PROBE_PATIENCE_MILLIS)
			.max()
			.orElse(nowMillis);
		return OptionalLong.of(Math.max(nowMillis, Math.max(patienceEnds, this.nextProbeAtMillis)));
	}

	/**
	 * Records the end of a read. One that did not succeed waits for its next start unless
	 * it is given up.
	 * @param read the read
	 * @param outcome how it ended
	 * @param nowMillis the time now, in monotonic milliseconds
	 * @return whether the read is given up
	 */
	public boolean end(OriginRead read, OriginReadOutcome outcome, long nowMillis) {
		Started started = this.inProgress.remove(read);
		if (started == null) {
			return false;
		}
		Failures failures = started.failures();
		if (outcome == OriginReadOutcome.FAILED) {
			recordFailure(started, nowMillis);
		}
		else {
			recordResponse(started, nowMillis);
		}
		if (outcome == OriginReadOutcome.SUCCEEDED) {
			return false;
		}
		// failures without a success of any read in between are one outage
		if (failures.count() == 0 || outcome == OriginReadOutcome.CORRUPT || failures.successes() != this.successes) {
			failures = new Failures(failures.count() + 1, this.successes);
		}
		boolean givenUp = failures.count() >= MAX_FAILURES;
		if (!givenUp) {
			this.waiting.put(read, failures);
		}
		return givenUp;
	}

	private void recordResponse(Started started, long nowMillis) {
		this.available = true;
		this.successes++;
		double sample = nowMillis - Math.max(started.atMillis(), this.lastSuccessAtMillis);
		this.pieceMillis = (this.pieceMillis == 0) ? sample
				: this.pieceMillis + PIECE_TIME_WEIGHT * (sample - this.pieceMillis);
		this.lastSuccessAtMillis = nowMillis;
	}

	private void recordFailure(Started started, long nowMillis) {
		if (this.available) {
			this.available = false;
			this.unavailableSinceMillis = nowMillis;
			this.probeDelayMillis = MIN_PROBE_DELAY_MILLIS;
			// how long an outage lasts is unknown, so no version is in time before the
			// newest
			this.olderFirst.clear();
		}
		else if (started.atMillis() > this.unavailableSinceMillis) {
			this.probeDelayMillis = Math.min(MAX_PROBE_DELAY_MILLIS, 2 * this.probeDelayMillis);
		}
		this.nextProbeAtMillis = nowMillis + this.probeDelayMillis;
	}

	/**
	 * The failures of a read.
	 *
	 * @param count their number, in which an outage counts once
	 * @param successes the number of successful reads before the last one
	 */
	private record Failures(int count, long successes) {

		private static final Failures NONE = new Failures(0, 0);

	}

	/**
	 * A read in progress.
	 *
	 * @param atMillis when it started, in monotonic milliseconds
	 * @param failures its failures before
	 */
	private record Started(long atMillis, Failures failures) {

	}

}
