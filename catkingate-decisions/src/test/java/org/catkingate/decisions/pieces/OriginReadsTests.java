package org.catkingate.decisions.pieces;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.catkingate.model.Digest;
import org.catkingate.model.ModelName;
import org.catkingate.model.registry.PieceDigests;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OriginReads}, with a link that transfers one piece after the other.
 */
class OriginReadsTests {

	private static final ModelName MODEL = new ModelName("m");

	private static final int PIECES = 96;

	private static final long MILLIS_PER_PIECE = 27;

	private static final long CHANGE_MILLIS = 10_000;

	private final OriginReads reads = new OriginReads();

	private final List<OriginRead> succeeded = new ArrayList<>();

	private final Deque<OriginRead> onLink = new ArrayDeque<>();

	private long now;

	private long millisPerPiece = MILLIS_PER_PIECE;

	private long linkFreeAt;

	private int failures;

	private void declare(long version, long neededAtMillis) {
		Digest digest = Digest.of("piece".getBytes(StandardCharsets.UTF_8));
		this.reads.declare(new PieceDigests(MODEL, version, 1, Collections.nCopies(PIECES, digest)),
				VersionTimes.of(neededAtMillis, CHANGE_MILLIS), this.now);
		IntStream.range(0, PIECES).forEach((index) -> this.reads.add(new OriginRead(MODEL, version, index)));
		this.reads.removeObsolete();
	}

	private void runUntil(long endMillis, boolean available) {
		for (; this.now < endMillis; this.now++) {
			if (!this.onLink.isEmpty() && this.now >= this.linkFreeAt + this.millisPerPiece) {
				this.linkFreeAt = this.now;
				OriginRead read = this.onLink.poll();
				this.succeeded.add(read);
				assertThat(this.reads.end(read, OriginReadOutcome.SUCCEEDED, this.now)).isFalse();
			}
			for (OriginRead read : this.reads.start(4, this.now)) {
				if (available) {
					this.linkFreeAt = this.onLink.isEmpty() ? this.now : this.linkFreeAt;
					this.onLink.add(read);
				}
				else {
					this.failures++;
					assertThat(this.reads.end(read, OriginReadOutcome.FAILED, this.now)).isFalse();
				}
			}
		}
	}

	private List<OriginRead> succeededOf(long version) {
		return this.succeeded.stream().filter((read) -> read.version() == version).toList();
	}

	// Guards against a first-in, first-out order over all versions, and against reads
	// that continue late or are repeated after an outage.
	@Test
	void theNewestOfTwoVersionsIsCompleteAsSoonAsTheLinkAllowsAfterAnOutage() {
		runUntil(18_000, true);
		declare(2, 28_000);
		runUntil(20_000, true);
		declare(3, 28_000);
		int inFlight = this.onLink.size();
		int older = succeededOf(2).size();
		runUntil(20_500, true);
		int newestBefore = succeededOf(3).size();
		runUntil(26_500, false);
		long linkMillis = (PIECES - succeededOf(3).size()) * MILLIS_PER_PIECE;
		runUntil(26_500 + linkMillis + 700, true);
		assertThat(newestBefore).isGreaterThanOrEqualTo(13);
		assertThat(succeededOf(3)).hasSize(PIECES).doesNotHaveDuplicates();
		assertThat(succeededOf(2)).hasSize(older + inFlight);
	}

	// Guards against retries of a refused connection every millisecond, which cost
	// processor time and flood the log.
	@Test
	void anUnavailableOriginIsProbedWithBackOff() {
		declare(1, 10_000);
		runUntil(6000, false);
		assertThat(this.failures).isBetween(6000 / 250, 6000 / 150);
		assertThat(this.reads.isAvailable()).isFalse();
	}

	// Guards against one unanswered probe that delays the continuation by its time limit.
	@Test
	void aProbeWithoutAResponseDelaysTheNextOneByHalfASecondOnly() {
		declare(1, 10_000);
		runUntil(1, false);
		List<OriginRead> unanswered = this.reads.start(1, 100);
		assertThat(unanswered).hasSize(1);
		assertThat(this.reads.start(1, 300)).isEmpty();
		assertThat(this.reads.nextStartMillis(300)).hasValue(600);
		assertThat(this.reads.start(1, 600)).hasSize(1).doesNotContainAnyElementsOf(unanswered);
	}

	// Guards against a fleet that completes no version while the origin is so slow that
	// each version is replaced before it has arrived.
	@Test
	void theOlderVersionIsReadFirstIfOnlyThatOneCanArriveInTime() {
		this.millisPerPiece = 90;
		declare(2, 10_000);
		runUntil(4000, true);
		declare(3, 10_000);
		runUntil(9500, true);
		assertThat(succeededOf(2)).hasSize(PIECES);
		runUntil(20_000, true);
		assertThat(succeededOf(3)).hasSize(PIECES);
	}

	// Guards against a piece that the origin cannot send and that is requested for ever,
	// and against one that a single outage gives up.
	@Test
	void aReadIsGivenUpOnlyAfterFailuresBetweenWhichOthersSucceed() {
		OriginRead missing = new OriginRead(MODEL, 1, 0);
		OriginRead other = new OriginRead(MODEL, 1, 1);
		for (int failure = 1; failure <= 3; failure++) {
			this.reads.add(missing);
			this.now += 1000;
			assertThat(this.reads.start(1, this.now)).containsExactly(missing);
			assertThat(this.reads.end(missing, OriginReadOutcome.FAILED, this.now)).isEqualTo(failure == 3);
			this.reads.add(other);
			this.now += 1000;
			assertThat(this.reads.start(1, this.now)).containsExactly(other);
			this.reads.end(other, OriginReadOutcome.SUCCEEDED, this.now);
		}
	}

}
