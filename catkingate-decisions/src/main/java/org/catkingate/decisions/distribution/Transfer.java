package org.catkingate.decisions.distribution;

import java.util.Set;
import java.util.TreeSet;

import org.catkingate.model.Digest;

/**
 * The transfer of one chunk. Immutable and safe for use by any thread.
 *
 * @param manifest the manifest for which the transfer was started
 * @param index the index of the chunk in that manifest
 * @param size the size of the chunk, in bytes
 * @param source the source of the chunk
 * @param distance the distance of the source
 * @param requested the number of bytes requested, from the start of the chunk
 * @param received the number of bytes received
 * @param outstanding the offsets of the slices that have been requested and have not
 * arrived
 * @param progressAtMillis when the last slice arrived, or the transfer was started
 */
record Transfer(Digest manifest, int index, int size, Source source, SourceDistance distance, int requested,
		int received, Set<Integer> outstanding, long progressAtMillis) {

	static Transfer start(Digest manifest, int index, int size, Source source, SourceDistance distance, long now) {
		return new Transfer(manifest, index, size, source, distance, 0, 0, Set.of(), now);
	}

	boolean isUpstream() {
		return this.distance.compareTo(SourceDistance.OTHER_REGION) >= 0;
	}

	int sliceBytes() {
		return isUpstream() ? Limits.UPSTREAM_SLICE_BYTES : Limits.SLICE_BYTES;
	}

	int nextSliceLength() {
		return Math.min(sliceBytes(), this.size - this.requested);
	}

	int lengthAt(int offset) {
		return Math.min(sliceBytes(), this.size - offset);
	}

	boolean isComplete() {
		return this.received >= this.size;
	}

	boolean isStalled(long now) {
		return !isComplete() && now - this.progressAtMillis > Limits.STALL_TIMEOUT_MILLIS;
	}

	Transfer withSliceRequested() {
		Set<Integer> more = new TreeSet<>(this.outstanding);
		more.add(this.requested);
		return new Transfer(this.manifest, this.index, this.size, this.source, this.distance,
				this.requested + nextSliceLength(), this.received, more, this.progressAtMillis);
	}

	Transfer withSliceReceived(int offset, int length, long now) {
		Set<Integer> fewer = new TreeSet<>(this.outstanding);
		fewer.remove(offset);
		return new Transfer(this.manifest, this.index, this.size, this.source, this.distance, this.requested,
				this.received + length, fewer, now);
	}

}
